/**
 * One instance of the scheduler on the platform: settings, wiring of its parts, start, handover of
 * the cell and graceful shutdown.
 */
package org.hickorypier.daemon.node;
