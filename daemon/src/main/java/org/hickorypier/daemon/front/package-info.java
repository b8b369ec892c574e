/**
 * The HTTP front for callers: decides the access of each request by the configuration and forwards
 * it to the owner.
 */
package org.hickorypier.daemon.front;
