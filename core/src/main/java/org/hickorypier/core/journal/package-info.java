/** The state that is folded from the journal: accepted work, its attempts and its outcomes. */
package org.hickorypier.core.journal;
