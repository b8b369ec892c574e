package org.hickorypier.core.membership;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Remembers which instances were candidates for homes, to find those that were home of some work
 * before.
 *
 * <p>Load: 260 restarts a day move a part of all keys to another home, several times an hour.
 * Failure prevented: a caller repeats a request while its first attempt still runs; the new home
 * has never heard of it and would run it a second time. It is enough to ask the former homes,
 * because only a home takes work in, and because no synchronous request runs longer than the
 * history reaches back.
 *
 * <p>Belongs to the control thread.
 */
public final class HomeHistory {

  /** A flapping link must not fill the memory; older views go first and their homes repeat. */
  private static final int VIEWS_KEPT = 64;

  private final String own;
  private final long keepMillis;
  private final Deque<View> views = new ArrayDeque<>();
  private final Map<String, Lost> lostWith = new HashMap<>();

  /**
   * Creates a history that starts empty.
   *
   * @param own this instance's name
   * @param keepMillis how far back it reaches, at least the longest run of a synchronous request
   */
  public HomeHistory(String own, long keepMillis) {
    this.own = own;
    this.keepMillis = keepMillis;
  }

  /**
   * Notes the present candidates. Cheap if they have not changed.
   *
   * @param candidates the instances that new work is homed at
   * @param now the time
   */
  public void note(Set<String> candidates, long now) {
    View last = views.peekLast();
    if (last != null && last.candidates.equals(candidates)) {
      return;
    }
    if (last != null) {
      last.endedMillis = now;
    }
    views.addLast(new View(Set.copyOf(candidates)));
    forget(now);
  }

  /**
   * Notes that work was sent to an instance which was lost before it answered.
   *
   * @param key the key
   * @param instance the instance
   * @param now the time
   */
  public void sentTo(String key, String instance, long now) {
    lostWith.put(key, new Lost(instance, now));
  }

  /**
   * Returns the other instances that were home of a key and may still be running it.
   *
   * @param key the key
   * @param now the time
   * @return their names, empty in quiet times
   */
  public Collection<String> formerHomes(String key, long now) {
    forget(now);
    Set<String> homes = new TreeSet<>();
    Iterator<View> fromNewest = views.descendingIterator();
    while (fromNewest.hasNext()) {
      RendezvousHash.first(fromNewest.next().candidates, key).ifPresent(homes::add);
    }
    Lost lost = lostWith.get(key);
    if (lost != null) {
      homes.add(lost.instance);
    }
    homes.remove(own);
    return homes;
  }

  private void forget(long now) {
    lostWith.values().removeIf(lost -> now - lost.sinceMillis > keepMillis);
    while (views.size() > 1
        && (now - views.peekFirst().endedMillis > keepMillis || views.size() > VIEWS_KEPT)) {
      views.removeFirst();
    }
  }

  private record Lost(String instance, long sinceMillis) {}

  private static final class View {
    private final Set<String> candidates;
    private long endedMillis;

    View(Set<String> candidates) {
      this.candidates = candidates;
    }
  }
}
