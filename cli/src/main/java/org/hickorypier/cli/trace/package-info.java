/** Reads the log lines of several instances and tells the life of one submission in order. */
package org.hickorypier.cli.trace;
