package org.hickorypier.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Rendezvous hashing: every instance draws a number for a key, and the highest is wanted.
 *
 * <p>Invariants: the result depends on names only, so all instances with the same view agree; when
 * an instance leaves, only its own keys move; when one joins, keys move only to it. The numbers are
 * part of the protocol between versions of the program and must not change.
 */
public final class RendezvousHash {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long GOLDEN_RATIO = 0x9e3779b97f4a7c15L;
  private static final long FIRST_FACTOR = 0xff51afd7ed558ccdL;
  private static final long SECOND_FACTOR = 0xc4ceb9fe1a85ec53L;
  private static final int SHIFT = 33;

  private RendezvousHash() {}

  /**
   * Returns the instance that is wanted for a key.
   *
   * @param instances the names to choose from
   * @param key the key
   * @return the name with the highest number, or empty if there are none
   */
  public static Optional<String> preferred(Collection<String> instances, String key) {
    return instances.stream().max(byNumber(key));
  }

  /**
   * Returns all instances, the wanted one first, then the one that follows when it is gone.
   *
   * @param instances the names to choose from
   * @param key the key
   * @return the names in the order in which they are wanted
   */
  public static List<String> ranked(Collection<String> instances, String key) {
    return instances.stream().sorted(byNumber(key).reversed()).toList();
  }

  private static Comparator<String> byNumber(String key) {
    long keyHash = hash(key);
    return Comparator.<String>comparingLong(name -> number(name, keyHash))
        .thenComparing(Comparator.naturalOrder());
  }

  private static long number(String name, long keyHash) {
    return mix(hash(name) + GOLDEN_RATIO * mix(keyHash));
  }

  private static long hash(String text) {
    long hash = FNV_OFFSET;
    for (int index = 0; index < text.length(); index++) {
      hash = (hash ^ text.charAt(index)) * FNV_PRIME;
    }
    return hash;
  }

  // Names differ in their last character only. FNV alone leaves their hashes close together, and
  // one instance would be wanted for most keys; the finalizer of MurmurHash3 spreads every bit.
  private static long mix(long value) {
    long mixed = (value ^ (value >>> SHIFT)) * FIRST_FACTOR;
    mixed = (mixed ^ (mixed >>> SHIFT)) * SECOND_FACTOR;
    return mixed ^ (mixed >>> SHIFT);
  }
}
