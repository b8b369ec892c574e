package org.hickorypier.wire.record;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * In a snapshot: an id folded of late and what became of it.
 *
 * @param id the id
 * @param offset the offset at which it was folded
 * @param verdict the number of the verdict
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record FoldedIdEntry(String id, long offset, int verdict) {}
