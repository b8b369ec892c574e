package org.hickorypier.core.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.hickorypier.wire.message.HomeViews;

/**
 * Records which instances were candidates for homes, to find the former homes of a key, and how far
 * back the record is complete.
 *
 * <p>260 restarts a day move a part of all keys to another home, several times an hour. If a caller
 * retries a request while its first attempt still runs, the new home does not know the request and
 * would run it a second time, or report it as not run. Asking the former homes is enough, because
 * only a home accepts work, and because no synchronous request runs longer than the history is
 * retained. An instance that has just started, or was paused for so long that its peers considered
 * it dead, learns from them what it missed; until then its answers are not complete.
 *
 * <p>Confined to the control thread.
 */
public final class HomeHistory {

  /** Bounds the memory when a link flaps; the history is incomplete before a dropped view. */
  private static final int MAX_VIEWS = 64;

  private static final long EVER = Long.MIN_VALUE;

  private final String own;
  private final long retentionMillis;
  private final long interruptionMillis;
  private final Deque<View> views = new ArrayDeque<>();
  private final Map<Set<String>, View> earlierViews = new HashMap<>();

  /** Views that peers held while this instance recorded, such as those of a peer not yet linked. */
  private final Map<Set<String>, View> concurrentViews = new HashMap<>();

  private final Set<String> mergedPeers = new HashSet<>();
  private final Map<String, LostForward> lostForwards = new HashMap<>();
  private long uninterruptedSinceMillis;
  private long completeSinceMillis;
  private long lastRecordedMillis;
  private boolean heardFromAllPeers;

  /**
   * Creates an empty history, which is incomplete before the present time.
   *
   * @param own this instance's name
   * @param retentionMillis how long views are retained, at least the longest run of a synchronous
   *     request
   * @param interruptionMillis after this time without a record the peers may have considered this
   *     instance dead
   * @param now the time in milliseconds
   */
  public HomeHistory(String own, long retentionMillis, long interruptionMillis, long now) {
    this.own = own;
    this.retentionMillis = retentionMillis;
    this.interruptionMillis = interruptionMillis;
    restartRecord(now);
  }

  /**
   * Records the present candidates. The caller invokes this regularly; it is cheap if they have not
   * changed.
   *
   * @param candidates the instances that can be home of new work
   * @param now the time in milliseconds
   */
  public void recordCandidates(Set<String> candidates, long now) {
    checkForInterruption(now);
    lastRecordedMillis = now;
    View last = views.peekLast();
    if (last != null && last.candidates.equals(candidates)) {
      return;
    }
    if (last != null) {
      last.endedMillis = now;
    }
    views.addLast(new View(Set.copyOf(candidates), now));
    removeExpired(now);
  }

  /**
   * Records that work was sent to an instance which was lost before it answered.
   *
   * @param key the key
   * @param instance the instance
   * @param now the time in milliseconds
   */
  public void recordLostForward(String key, String instance, long now) {
    lostForwards.put(key, new LostForward(instance, now));
  }

  /**
   * Returns the recorded views, to be sent to another instance.
   *
   * @param now the time in milliseconds
   * @return the views, with their ages in milliseconds
   */
  public HomeViews snapshot(long now) {
    checkForInterruption(now);
    removeExpired(now);
    List<HomeViews.View> exported = new ArrayList<>();
    earlierViews.values().forEach(view -> exported.add(view.toHomeView(now)));
    views.forEach(view -> exported.add(view.toHomeView(now)));
    long knownFor = completeSinceMillis == EVER ? HomeViews.EVER : now - completeSinceMillis;
    return new HomeViews(knownFor, exported);
  }

  /**
   * Merges another instance's history, which covers the time before this one began to record.
   *
   * @param instance the instance
   * @param peerViews the views that it recorded
   * @param now the time in milliseconds
   */
  public void mergePeerHistory(String instance, HomeViews peerViews, long now) {
    mergedPeers.add(instance);
    for (HomeViews.View past : peerViews.views()) {
      View view = new View(Set.copyOf(past.candidates()), now - past.sinceMillis());
      view.endedMillis = now - past.endedMillis();
      if (view.sinceMillis <= uninterruptedSinceMillis) {
        view.endedMillis = Math.min(view.endedMillis, uninterruptedSinceMillis);
        earlierViews.merge(view.candidates, view, View::merge);
      } else {
        concurrentViews.merge(view.candidates, view, View::merge);
      }
    }
    boolean ever = peerViews.knownForMillis() == HomeViews.EVER;
    long since = ever ? EVER : now - peerViews.knownForMillis();
    completeSinceMillis = Math.min(completeSinceMillis, since);
  }

  /**
   * Returns the instances whose history is not merged yet. Until it is, this history is incomplete:
   * an instance that has just appeared may have been home by its own view alone.
   *
   * @param others the other instances that look live
   * @return those whose history is missing
   */
  public Set<String> awaitedPeers(Set<String> others) {
    mergedPeers.retainAll(others);
    Set<String> missing = new TreeSet<>(others);
    missing.removeAll(mergedPeers);
    heardFromAllPeers &= missing.isEmpty();
    return missing;
  }

  /** Records that the histories of all other instances are merged. */
  public void markHeardFromAllPeers() {
    heardFromAllPeers = true;
  }

  /** Records that no instance was lost before the present ones, so their histories are complete. */
  public void markHistoryComplete() {
    completeSinceMillis = EVER;
  }

  /**
   * Returns whether all other histories were merged since this instance began to record.
   *
   * @param now the time in milliseconds
   * @return false for a short time after the start and after a long pause
   */
  public boolean hasHeardFromAllPeers(long now) {
    checkForInterruption(now);
    return heardFromAllPeers;
  }

  /**
   * Returns whether no other instance can have become home of this instance's work unnoticed since
   * a time.
   *
   * @param sinceMillis the time
   * @param now the present time in milliseconds
   * @return false if the record was interrupted after that time
   */
  public boolean isUninterruptedSince(long sinceMillis, long now) {
    checkForInterruption(now);
    return uninterruptedSinceMillis <= sinceMillis;
  }

  /**
   * Returns the former homes of a key that may still be running it.
   *
   * @param key the key
   * @param now the time in milliseconds
   * @return the former homes; none unless the candidates changed or the history is incomplete
   */
  public FormerHomes formerHomes(String key, long now) {
    return formerHomes(key, now, retentionMillis);
  }

  /**
   * Returns the former homes of a key within a period.
   *
   * @param key the key
   * @param now the time in milliseconds
   * @param backMillis the length of the period in milliseconds, back from the present
   * @return the former homes; none unless the candidates changed or the history is incomplete
   */
  public FormerHomes formerHomes(String key, long now, long backMillis) {
    checkForInterruption(now);
    removeExpired(now);
    Set<String> homes = new TreeSet<>();
    addHomes(homes, views, key, now - backMillis);
    addHomes(homes, concurrentViews.values(), key, now - backMillis);
    LostForward lost = lostForwards.get(key);
    if (lost != null && lost.sinceMillis >= now - backMillis) {
      homes.add(lost.instance);
    }
    homes.remove(own);
    Set<String> earlierHomes = new TreeSet<>();
    addHomes(earlierHomes, earlierViews.values(), key, now - backMillis);
    final boolean ownEarlierIncarnation = earlierHomes.remove(own);
    homes.addAll(earlierHomes);
    boolean complete = heardFromAllPeers && completeSinceMillis <= now - backMillis;
    return new FormerHomes(homes, ownEarlierIncarnation, complete);
  }

  /**
   * Returns whether an instance has been the only home of a key for some time.
   *
   * @param instance the instance
   * @param key the key
   * @param now the time in milliseconds
   * @param sinceMillis the length of the period in milliseconds
   * @return false if another instance was home meanwhile, or if the record begins later
   */
  public boolean hasBeenSoleHome(String instance, String key, long now, long sinceMillis) {
    checkForInterruption(now);
    Set<String> homes = new TreeSet<>();
    addHomes(homes, views, key, now - sinceMillis);
    return homes.equals(Set.of(instance)) && uninterruptedSinceMillis <= now - sinceMillis;
  }

  private static void addHomes(Set<String> homes, Collection<View> among, String key, long since) {
    for (View view : among) {
      if (view.endedMillis >= since) {
        RendezvousHash.preferred(view.candidates, key).ifPresent(homes::add);
      }
    }
  }

  private void checkForInterruption(long now) {
    if (now - lastRecordedMillis > interruptionMillis) {
      restartRecord(now);
    }
  }

  private void restartRecord(long now) {
    View last = views.peekLast();
    if (last != null) {
      last.endedMillis = now;
    }
    // The recorded views precede the interruption, as do those that the peers will send.
    views.forEach(view -> earlierViews.merge(view.candidates, view, View::merge));
    views.clear();
    concurrentViews.forEach(
        (candidates, view) -> earlierViews.merge(candidates, view, View::merge));
    concurrentViews.clear();
    mergedPeers.clear();
    heardFromAllPeers = false;
    uninterruptedSinceMillis = now;
    completeSinceMillis = now;
    lastRecordedMillis = now;
  }

  private void removeExpired(long now) {
    lostForwards.values().removeIf(lost -> now - lost.sinceMillis > retentionMillis);
    earlierViews.values().removeIf(view -> now - view.endedMillis > retentionMillis);
    concurrentViews.values().removeIf(view -> now - view.endedMillis > retentionMillis);
    while (views.size() > 1 && now - views.peekFirst().endedMillis > retentionMillis) {
      views.removeFirst();
    }
    while (views.size() > MAX_VIEWS) {
      completeSinceMillis = Math.max(completeSinceMillis, views.removeFirst().endedMillis);
    }
  }

  private record LostForward(String instance, long sinceMillis) {}

  private static final class View {
    private final Set<String> candidates;
    private final long sinceMillis;
    private long endedMillis = Long.MAX_VALUE;

    View(Set<String> candidates, long sinceMillis) {
      this.candidates = candidates;
      this.sinceMillis = sinceMillis;
    }

    /** Returns a view of the same candidates from the earlier start to the later end. */
    View merge(View other) {
      View merged = new View(candidates, Math.min(sinceMillis, other.sinceMillis));
      merged.endedMillis = Math.max(endedMillis, other.endedMillis);
      return merged;
    }

    HomeViews.View toHomeView(long now) {
      long ended = Math.min(endedMillis, now);
      return new HomeViews.View(List.copyOf(candidates), now - sinceMillis, now - ended);
    }
  }
}
