package org.hickorypier.measure.delivery;

/**
 * What the digests of one instance cost on one link, frame headers included.
 *
 * <p>Immutable.
 *
 * @param named bytes a second if every digest named every team
 * @param first bytes of the first change on a link
 * @param unbounded bytes a second if changes were not bounded
 * @param bounded bytes a second as they are sent
 * @param fixed bytes of a digest without teams
 * @param each bytes of one team in a change, its name aside; the most of any
 * @param roomSeconds time between two digests, on average
 * @param useError how far the reader is off a team's running tasks, on average over time and teams,
 *     as a part of the mean
 */
record DigestFigures(
    double named,
    int first,
    double unbounded,
    double bounded,
    int fixed,
    int each,
    double roomSeconds,
    double useError) {}
