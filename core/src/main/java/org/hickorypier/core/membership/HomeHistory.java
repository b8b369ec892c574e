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
 * Remembers which instances were candidates for homes, to find those that were home of some work
 * before, and says how far back it can tell.
 *
 * <p>Load: 260 restarts a day move a part of all keys to another home, several times an hour.
 * Failure prevented: a caller repeats a request while its first attempt still runs; the new home
 * has never heard of it and would run it a second time, or call it not run. It is enough to ask the
 * former homes, because only a home takes work in, and because no synchronous request runs longer
 * than the history reaches back. An instance that has just started, or was paused for so long that
 * the others took it for gone, learns from them what it missed; until then nothing is certain.
 *
 * <p>Belongs to the control thread.
 */
public final class HomeHistory {

  /** A flapping link must not fill the memory; what is dropped is not known any more. */
  private static final int VIEWS_KEPT = 64;

  private static final long EVER = Long.MIN_VALUE;

  private final String own;
  private final long keepMillis;
  private final long interruptionMillis;
  private final Deque<View> views = new ArrayDeque<>();
  private final Map<Set<String>, View> learned = new HashMap<>();

  /** Views of others since this instance notes, such as that of one that had no link yet. */
  private final Map<Set<String>, View> beside = new HashMap<>();

  private final Set<String> heard = new HashSet<>();
  private final Map<String, Lost> lostWith = new HashMap<>();
  private long unbrokenSinceMillis;
  private long knownSinceMillis;
  private long lastNotedMillis;
  private boolean markHeardFromAllPeers;

  /**
   * Creates a history that knows nothing of the time before.
   *
   * @param own this instance's name
   * @param keepMillis how far back it reaches, at least the longest run of a synchronous request
   * @param interruptionMillis after so long without a note the others may have taken this instance
   *     for gone
   * @param now the time
   */
  public HomeHistory(String own, long keepMillis, long interruptionMillis, long now) {
    this.own = own;
    this.keepMillis = keepMillis;
    this.interruptionMillis = interruptionMillis;
    beginAnew(now);
  }

  /**
   * Notes the present candidates. Cheap if they have not changed; to be called regularly.
   *
   * @param candidates the instances that new work is homed at
   * @param now the time
   */
  public void recordCandidates(Set<String> candidates, long now) {
    lookForInterruption(now);
    lastNotedMillis = now;
    View last = views.peekLast();
    if (last != null && last.candidates.equals(candidates)) {
      return;
    }
    if (last != null) {
      last.endedMillis = now;
    }
    views.addLast(new View(Set.copyOf(candidates), now));
    forget(now);
  }

  /**
   * Notes that work was sent to an instance which was lost before it answered.
   *
   * @param key the key
   * @param instance the instance
   * @param now the time
   */
  public void recordLostForward(String key, String instance, long now) {
    lostWith.put(key, new Lost(instance, now));
  }

  /**
   * Tells another instance what is known here.
   *
   * @param now the time
   * @return the views, with their ages
   */
  public HomeViews snapshot(long now) {
    lookForInterruption(now);
    forget(now);
    List<HomeViews.View> told = new ArrayList<>();
    learned.values().forEach(view -> told.add(view.told(now)));
    views.forEach(view -> told.add(view.told(now)));
    long knownFor = knownSinceMillis == EVER ? HomeViews.EVER : now - knownSinceMillis;
    return new HomeViews(knownFor, told);
  }

  /**
   * Takes in what another instance knows of the time before this one began to note.
   *
   * @param instance the instance
   * @param told what it knows
   * @param now the time
   */
  public void mergePeerHistory(String instance, HomeViews told, long now) {
    heard.add(instance);
    for (HomeViews.View past : told.views()) {
      View view = new View(Set.copyOf(past.candidates()), now - past.sinceMillis());
      view.endedMillis = now - past.endedMillis();
      if (view.sinceMillis <= unbrokenSinceMillis) {
        view.endedMillis = Math.min(view.endedMillis, unbrokenSinceMillis);
        learned.merge(view.candidates, view, View::join);
      } else {
        beside.merge(view.candidates, view, View::join);
      }
    }
    boolean ever = told.knownForMillis() == HomeViews.EVER;
    long since = ever ? EVER : now - told.knownForMillis();
    knownSinceMillis = Math.min(knownSinceMillis, since);
  }

  /**
   * Returns which instances are still to be heard. Until they are nothing is certain: one that has
   * just appeared may have been home by its own view alone.
   *
   * @param others the other instances that look live
   * @return those that have not told yet what they know
   */
  public Set<String> awaitedPeers(Set<String> others) {
    heard.retainAll(others);
    Set<String> missing = new TreeSet<>(others);
    missing.removeAll(heard);
    markHeardFromAllPeers &= missing.isEmpty();
    return missing;
  }

  /** Notes that every other instance has told what it knows. */
  public void markHeardFromAllPeers() {
    markHeardFromAllPeers = true;
  }

  /** Notes that no instance was lost before the present ones: what they have told is all. */
  public void markHistoryComplete() {
    knownSinceMillis = EVER;
  }

  /**
   * Tells whether every other instance has told what it knows since this one began to note.
   *
   * @param now the time
   * @return false for a moment after the start, and after a long pause
   */
  public boolean hasHeardFromAllPeers(long now) {
    lookForInterruption(now);
    return markHeardFromAllPeers;
  }

  /**
   * Tells whether nobody else can have become home of this instance's work unnoticed since a time.
   *
   * @param sinceMillis the time
   * @param now the present time
   * @return false if the notes were interrupted after that time
   */
  public boolean isUninterruptedSince(long sinceMillis, long now) {
    lookForInterruption(now);
    return unbrokenSinceMillis <= sinceMillis;
  }

  /**
   * Returns who was home of a key and may still be running it.
   *
   * @param key the key
   * @param now the time
   * @return nobody in quiet times
   */
  public FormerHomes formerHomes(String key, long now) {
    return formerHomes(key, now, keepMillis);
  }

  /**
   * Returns who was home of a key within a time.
   *
   * @param key the key
   * @param now the time
   * @param backMillis how far to look back
   * @return nobody in quiet times
   */
  public FormerHomes formerHomes(String key, long now, long backMillis) {
    lookForInterruption(now);
    forget(now);
    Set<String> homes = new TreeSet<>();
    addHomes(homes, views, key, now - backMillis);
    addHomes(homes, beside.values(), key, now - backMillis);
    Lost lost = lostWith.get(key);
    if (lost != null && lost.sinceMillis >= now - backMillis) {
      homes.add(lost.instance);
    }
    homes.remove(own);
    Set<String> before = new TreeSet<>();
    addHomes(before, learned.values(), key, now - backMillis);
    final boolean ownEarlierLife = before.remove(own);
    homes.addAll(before);
    boolean complete = markHeardFromAllPeers && knownSinceMillis <= now - backMillis;
    return new FormerHomes(homes, ownEarlierLife, complete);
  }

  /**
   * Tells whether an instance has been home of a key for some time.
   *
   * @param instance the instance
   * @param key the key
   * @param now the time
   * @param sinceMillis for how long
   * @return false if another was home meanwhile, or if the notes do not reach back so far
   */
  public boolean hasBeenSoleHome(String instance, String key, long now, long sinceMillis) {
    lookForInterruption(now);
    Set<String> homes = new TreeSet<>();
    addHomes(homes, views, key, now - sinceMillis);
    return homes.equals(Set.of(instance)) && unbrokenSinceMillis <= now - sinceMillis;
  }

  private static void addHomes(Set<String> homes, Collection<View> among, String key, long since) {
    for (View view : among) {
      if (view.endedMillis >= since) {
        RendezvousHash.preferred(view.candidates, key).ifPresent(homes::add);
      }
    }
  }

  private void lookForInterruption(long now) {
    if (now - lastNotedMillis > interruptionMillis) {
      beginAnew(now);
    }
  }

  private void beginAnew(long now) {
    View last = views.peekLast();
    if (last != null) {
      last.endedMillis = now;
    }
    // What was noted belongs to the time before now, like what the others will tell.
    views.forEach(view -> learned.merge(view.candidates, view, View::join));
    views.clear();
    beside.forEach((candidates, view) -> learned.merge(candidates, view, View::join));
    beside.clear();
    heard.clear();
    markHeardFromAllPeers = false;
    unbrokenSinceMillis = now;
    knownSinceMillis = now;
    lastNotedMillis = now;
  }

  private void forget(long now) {
    lostWith.values().removeIf(lost -> now - lost.sinceMillis > keepMillis);
    learned.values().removeIf(view -> now - view.endedMillis > keepMillis);
    beside.values().removeIf(view -> now - view.endedMillis > keepMillis);
    while (views.size() > 1 && now - views.peekFirst().endedMillis > keepMillis) {
      views.removeFirst();
    }
    while (views.size() > VIEWS_KEPT) {
      knownSinceMillis = Math.max(knownSinceMillis, views.removeFirst().endedMillis);
    }
  }

  private record Lost(String instance, long sinceMillis) {}

  private static final class View {
    private final Set<String> candidates;
    private final long sinceMillis;
    private long endedMillis = Long.MAX_VALUE;

    View(Set<String> candidates, long sinceMillis) {
      this.candidates = candidates;
      this.sinceMillis = sinceMillis;
    }

    /** Returns one view of the same candidates that lasts from the first to the end of the last. */
    View join(View other) {
      View joined = new View(candidates, Math.min(sinceMillis, other.sinceMillis));
      joined.endedMillis = Math.max(endedMillis, other.endedMillis);
      return joined;
    }

    HomeViews.View told(long now) {
      long ended = Math.min(endedMillis, now);
      return new HomeViews.View(List.copyOf(candidates), now - sinceMillis, now - ended);
    }
  }
}
