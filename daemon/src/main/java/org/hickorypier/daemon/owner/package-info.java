/**
 * Ownership of the cell, and the work of the owner other than scheduling decisions: it writes the
 * journal, renews leases, sends orders and calls the advisor.
 *
 * <p>All of it runs on the control thread, except for the members that are documented as
 * thread-safe.
 */
package org.hickorypier.daemon.owner;
