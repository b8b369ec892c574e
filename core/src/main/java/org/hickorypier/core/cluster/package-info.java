/** The operator's configuration of the whole cluster, as immutable data. */
package org.hickorypier.core.cluster;
