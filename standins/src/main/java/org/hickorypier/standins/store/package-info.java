/** A stand-in for the platform's metadata store: partitions, epochs, groups. */
package org.hickorypier.standins.store;
