/** A stand-in for the platform's workers: runs, ends, fencing and leases. */
package org.hickorypier.standins.executor;
