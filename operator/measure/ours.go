package measure

// Ours is the policy that the daemon runs.
func Ours() Policy {
	return Policy{
		Name:      "primroseloom",
		Chooser:   NewTwoChoices,
		Health:    NewNaive,
		Admission: NewOpenAdmission,
		Retrier:   NewBudgetRetrier,
	}
}
