/** Estimates of the speed of workers and of the run time of tasks, learned from completed runs. */
package org.hickorypier.core.estimation;
