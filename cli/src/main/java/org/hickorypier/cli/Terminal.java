package org.hickorypier.cli;

import java.io.BufferedReader;
import java.io.PrintStream;

/**
 * Where a call of hickory reads and prints.
 *
 * @param input standard input
 * @param output results
 * @param errors what went wrong
 * @param interactive whether a person types at the other end
 */
record Terminal(
    BufferedReader input, PrintStream output, PrintStream errors, boolean interactive) {}
