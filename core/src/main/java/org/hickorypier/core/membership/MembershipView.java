package org.hickorypier.core.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Which entry instances this instance takes for live.
 *
 * <p>A peer looks live while its link stands, whatever the list says. It looks dead once the link
 * has been down for longer than the peer timeout, or at once if the list names it no more. A listed
 * peer that was never linked looks live for one timeout from when it was first listed, so that an
 * instance that has just started does not claim every worker before it has linked to anybody.
 *
 * <p>The view may be wrong both ways. A live peer looks dead when only the network between the two
 * is cut, or when it is paused past the timeout; then two instances may both take themselves for
 * wanted, and both claim a worker. That costs a refused order and never a double start: the worker
 * grants one control token at a time and refuses every order under a lower one. A dead peer looks
 * live for up to one timeout; its workers are claimed that much later. Nothing may rest on the view
 * that is not checked by the worker's token or by the fold of the log.
 *
 * <p>Not thread safe: it belongs to the control thread. Time is passed in, as milliseconds of this
 * instance's own monotonic clock, so no other instance's clock matters.
 */
public final class MembershipView {

  private final String own;
  private final long timeoutMillis;
  private final Map<String, Member> members = new HashMap<>();
  private Set<String> updateListed = Set.of();
  private Set<String> leaving = Set.of();
  private Set<String> updateDrained = Set.of();

  /**
   * Creates a view that knows only its own instance.
   *
   * @param own this instance's name
   * @param timeoutMillis how long a link may be down before the peer looks dead
   */
  public MembershipView(String own, long timeoutMillis) {
    this.own = own;
    this.timeoutMillis = timeoutMillis;
  }

  /**
   * Takes in the platform's list of entry instances.
   *
   * @param list the whole list
   * @param now the time
   */
  public void updateListed(Collection<ListedMember> list, long now) {
    updateListed = list.stream().map(ListedMember::name).collect(Collectors.toUnmodifiableSet());
    leaving =
        list.stream()
            .filter(ListedMember::leaving)
            .map(ListedMember::name)
            .collect(Collectors.toUnmodifiableSet());
    for (String name : updateListed) {
      if (!name.equals(own)) {
        members.computeIfAbsent(name, ignored -> new Member(now));
      }
    }
    members.entrySet().removeIf(entry -> isForgotten(entry.getKey(), entry.getValue(), now));
  }

  /**
   * Takes in the operators' drains.
   *
   * @param names all drained instances and workers
   */
  public void updateDrained(Set<String> names) {
    updateDrained = Set.copyOf(names);
  }

  /**
   * Hears that the link to a peer stands.
   *
   * @param name the peer's name
   * @param incarnation its incarnation; earlier ones are dead
   * @param now the time
   */
  public void recordLinkUp(String name, long incarnation, long now) {
    Member member = members.computeIfAbsent(name, ignored -> new Member(now));
    member.linked = true;
    member.incarnation = OptionalLong.of(incarnation);
  }

  /**
   * Hears that the link to a peer is gone.
   *
   * @param name the peer's name
   * @param now the time
   */
  public void recordLinkDown(String name, long now) {
    Member member = members.computeIfAbsent(name, ignored -> new Member(now));
    member.linked = false;
    member.sinceMillis = now;
  }

  /**
   * Returns the instances that look live, this one included.
   *
   * @param now the time
   * @return their names
   */
  public Set<String> liveInstances(long now) {
    Set<String> live = new TreeSet<>();
    live.add(own);
    members.forEach(
        (name, member) -> {
          if (looksLive(name, member, now)) {
            live.add(name);
          }
        });
    return live;
  }

  /**
   * Returns the live instances that may be given workers and work: those that are neither leaving
   * nor drained. If none is left, all live ones, since somebody has to end the work in hand.
   *
   * @param now the time
   * @return their names
   */
  public Set<String> candidates(long now) {
    Set<String> live = liveInstances(now);
    Set<String> staying = new HashSet<>(live);
    staying.removeAll(leaving);
    staying.removeAll(updateDrained);
    return staying.isEmpty() ? live : staying;
  }

  /**
   * Tells whether one incarnation of an instance looks live. One that is newer than what was linked
   * does: its link may not stand yet, and it acts from its first moment.
   *
   * @param name the instance's name
   * @param incarnation the incarnation
   * @param now the time
   * @return false also if a later incarnation has taken its place
   */
  public boolean isLive(String name, long incarnation, long now) {
    return Optional.ofNullable(members.get(name))
        .filter(member -> looksLive(name, member, now))
        .map(member -> member.incarnation.orElse(incarnation) <= incarnation)
        .orElse(false);
  }

  /**
   * Returns the instance that is wanted for a worker or a piece of work.
   *
   * @param key the worker's name, or the text of the work's key
   * @param now the time
   * @return the instance's name; never empty, since this instance is always live to itself
   */
  public String preferredInstance(String key, long now) {
    return RendezvousHash.preferred(candidates(now), key).orElse(own);
  }

  /** Returns how many peers are remembered, live or not. */
  int knownPeerCount() {
    return members.size();
  }

  private boolean looksLive(String name, Member member, long now) {
    if (member.linked) {
      return true;
    }
    return updateListed.contains(name) && now - member.sinceMillis <= timeoutMillis;
  }

  private boolean isForgotten(String name, Member member, long now) {
    return !updateListed.contains(name) && !looksLive(name, member, now);
  }

  private static final class Member {
    private boolean linked;
    private OptionalLong incarnation = OptionalLong.empty();
    private long sinceMillis;

    Member(long sinceMillis) {
      this.sinceMillis = sinceMillis;
    }
  }
}
