/** The fold of the journal: accepted work, its attempts and its ends. */
package org.hickorypier.core.journal;
