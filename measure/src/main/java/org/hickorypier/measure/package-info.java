/** Measurements of the decisions in fake time, beside plain baselines. */
package org.hickorypier.measure;
