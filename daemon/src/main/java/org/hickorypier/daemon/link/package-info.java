/**
 * Connections between instances: each instance keeps one to the current owner, and both sides may
 * send requests over it. A frame is a length, followed by consecutive MessagePack values.
 */
package org.hickorypier.daemon.link;
