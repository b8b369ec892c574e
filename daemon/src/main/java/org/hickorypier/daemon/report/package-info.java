/** Structured logging of events, and metrics derived from them. */
package org.hickorypier.daemon.report;
