/** Enforces team limits across the fleet: folds the permits stream and plans permit requests. */
package org.hickorypier.core.permits;
