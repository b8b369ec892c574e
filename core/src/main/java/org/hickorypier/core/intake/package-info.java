/**
 * Decides which connections are given up when clients hold more memory or more connections than an
 * instance can spare. It uses no sockets and no clocks.
 */
package org.hickorypier.core.intake;
