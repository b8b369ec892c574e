/** A stand-in for the operator, who writes the configuration to the store. */
package org.hickorypier.standins.operator;
