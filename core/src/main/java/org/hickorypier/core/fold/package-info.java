/** What the folds of all streams share: verdicts, results and the memory of ids. */
package org.hickorypier.core.fold;
