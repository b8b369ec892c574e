/** Following and writing the streams of the platform's log. */
package org.hickorypier.daemon.log;
