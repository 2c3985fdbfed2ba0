package evidence

import (
	"github.com/primroseloom/primroseloom/policy/quota"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// nextAdmissions returns what a datagram to all zones tells of the requests of customers.
func (x *Exchange) nextAdmissions(isHeartbeat, far bool) []*primroseloomv1.CustomerAdmissions {
	if x.options.Admissions == nil || !far {
		return nil
	}
	return admissionsToWire(x.options.Admissions(isHeartbeat))
}

// receiveAdmissions passes on what a datagram tells; it is called for each one that is newer
// than those before.
func (x *Exchange) receiveAdmissions(message *primroseloomv1.EvidenceDatagram) {
	if x.options.AdmissionsReceived != nil {
		x.options.AdmissionsReceived(message.GetVm(), message.GetInstance(), admissionsFromWire(message.GetCustomerAdmissions()))
	}
}

// AdmissionsChanged schedules a datagram to all zones with what this VM has admitted of
// customers.
func (x *Exchange) AdmissionsChanged() { x.requestSend(true) }

func admissionsToWire(reports []quota.Report) []*primroseloomv1.CustomerAdmissions {
	messages := make([]*primroseloomv1.CustomerAdmissions, 0, len(reports))
	for _, report := range reports {
		messages = append(messages, &primroseloomv1.CustomerAdmissions{Customer: uint64(report.Customer), Admitted: report.Admitted})
	}
	return messages
}

// admissionsFromWire converts reports; those above the number that a datagram holds are left
// out.
func admissionsFromWire(messages []*primroseloomv1.CustomerAdmissions) []quota.Report {
	messages = messages[:min(len(messages), quota.MaxReports)]
	reports := make([]quota.Report, 0, len(messages))
	for _, message := range messages {
		reports = append(reports, quota.Report{Customer: quota.Customer(message.GetCustomer()), Admitted: message.GetAdmitted()})
	}
	return reports
}
