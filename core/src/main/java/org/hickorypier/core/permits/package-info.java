/** Upper limits across the fleet: the fold of the permits stream and the planning of holds. */
package org.hickorypier.core.permits;
