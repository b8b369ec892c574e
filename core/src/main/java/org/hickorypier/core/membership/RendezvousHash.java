package org.hickorypier.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Rendezvous hashing: every instance has a score for a key, and the highest score is preferred.
 *
 * <p>Invariants: the result depends on names only, so all instances with the same view agree; when
 * an instance leaves, only its own keys move; when one joins, keys move only to it. The scores are
 * part of the protocol between versions of the program and must not change. Thread-safe.
 */
public final class RendezvousHash {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long GOLDEN_RATIO = 0x9e3779b97f4a7c15L;
  private static final long FIRST_FACTOR = 0xff51afd7ed558ccdL;
  private static final long SECOND_FACTOR = 0xc4ceb9fe1a85ec53L;
  private static final int SHIFT_BITS = 33;

  private RendezvousHash() {}

  /**
   * Returns the preferred instance for a key.
   *
   * @param instances the names to choose from
   * @param key the key
   * @return the name with the highest score, or empty if there are no instances
   */
  public static Optional<String> preferred(Collection<String> instances, String key) {
    return instances.stream().max(byScore(key));
  }

  /**
   * Returns all instances in order of preference; each one follows when those before it are gone.
   *
   * @param instances the names to choose from
   * @param key the key
   * @return the names, with the preferred one first
   */
  public static List<String> ranked(Collection<String> instances, String key) {
    return instances.stream().sorted(byScore(key).reversed()).toList();
  }

  private static Comparator<String> byScore(String key) {
    long keyHash = hash(key);
    return Comparator.<String>comparingLong(name -> score(name, keyHash))
        .thenComparing(Comparator.naturalOrder());
  }

  private static long score(String name, long keyHash) {
    return mix(hash(name) + GOLDEN_RATIO * mix(keyHash));
  }

  private static long hash(String text) {
    long hash = FNV_OFFSET;
    for (int index = 0; index < text.length(); index++) {
      hash = (hash ^ text.charAt(index)) * FNV_PRIME;
    }
    return hash;
  }

  // Instance names differ in their last character only. FNV alone leaves their hashes close
  // together and prefers one instance for most keys; the finalizer of MurmurHash3 spreads every
  // bit.
  private static long mix(long value) {
    long mixed = (value ^ (value >>> SHIFT_BITS)) * FIRST_FACTOR;
    mixed = (mixed ^ (mixed >>> SHIFT_BITS)) * SECOND_FACTOR;
    return mixed ^ (mixed >>> SHIFT_BITS);
  }
}
