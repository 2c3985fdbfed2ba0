// Package quotas holds the rate limits of customers on one VM. It connects the decisions of
// policy/quota with the requests of the gateway, the datagrams between VMs, the published
// customers and the metrics.
package quotas
