// Package operator is the root of its module.
package operator
