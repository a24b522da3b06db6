// Package reservation computes when and where a task or a gang that fits on no worker now
// can begin, from the predicted ends of the runs on the workers. It is a pure function of
// its input; the scheduler decides who gets a reservation and what it keeps off.
package reservation
