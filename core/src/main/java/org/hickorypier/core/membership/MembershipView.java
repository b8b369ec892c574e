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
 * The failure detector of this instance: the entry instances that it considers live.
 *
 * <p>A peer counts as live while its link is up, regardless of the list. It counts as dead once the
 * link has been down for longer than the peer timeout, or immediately if it is not listed any more.
 * A listed peer that was never linked counts as live for one timeout after it was first listed, so
 * that an instance that has just started does not claim every worker before it has any link.
 *
 * <p>The view can be wrong in both directions. A live peer counts as dead when only the network
 * between the two instances is partitioned, or when it is paused for longer than the timeout; then
 * two instances may both consider themselves preferred and both claim a worker. The cost is a
 * refused order and never a double start: the worker grants one control token at a time and refuses
 * every order under a lower one. A dead peer counts as live for up to one timeout, and its workers
 * are claimed later by that time. No decision may rely on the view alone: it is also checked by the
 * worker's token or by the state folded from the log.
 *
 * <p>Confined to the control thread. Times are milliseconds of this instance's own monotonic clock
 * and are passed in, so no other instance's clock matters.
 */
public final class MembershipView {

  private final String own;
  private final long timeoutMillis;
  private final Map<String, Member> members = new HashMap<>();
  private Set<String> listed = Set.of();
  private Set<String> leaving = Set.of();
  private Set<String> drained = Set.of();

  /**
   * Creates a view that contains only this instance.
   *
   * @param own this instance's name
   * @param timeoutMillis how long a link may be down before the peer counts as dead
   */
  public MembershipView(String own, long timeoutMillis) {
    this.own = own;
    this.timeoutMillis = timeoutMillis;
  }

  /**
   * Applies the platform's list of entry instances.
   *
   * @param list the whole list
   * @param now the time in milliseconds
   */
  public void updateListed(Collection<ListedMember> list, long now) {
    listed = list.stream().map(ListedMember::name).collect(Collectors.toUnmodifiableSet());
    leaving =
        list.stream()
            .filter(ListedMember::leaving)
            .map(ListedMember::name)
            .collect(Collectors.toUnmodifiableSet());
    for (String name : listed) {
      if (!name.equals(own)) {
        members.computeIfAbsent(name, ignored -> new Member(now));
      }
    }
    members.entrySet().removeIf(entry -> isRemovable(entry.getKey(), entry.getValue(), now));
  }

  /**
   * Applies the operators' drains.
   *
   * @param names all drained instances and workers
   */
  public void updateDrained(Set<String> names) {
    drained = Set.copyOf(names);
  }

  /**
   * Records that the link to a peer is up.
   *
   * @param name the peer's name
   * @param incarnation its incarnation; earlier ones count as dead
   * @param now the time in milliseconds
   */
  public void recordLinkUp(String name, long incarnation, long now) {
    Member member = members.computeIfAbsent(name, ignored -> new Member(now));
    member.linked = true;
    member.incarnation = OptionalLong.of(incarnation);
  }

  /**
   * Records that the link to a peer is down.
   *
   * @param name the peer's name
   * @param now the time in milliseconds
   */
  public void recordLinkDown(String name, long now) {
    Member member = members.computeIfAbsent(name, ignored -> new Member(now));
    member.linked = false;
    member.sinceMillis = now;
  }

  /**
   * Returns the instances that count as live, this one included.
   *
   * @param now the time in milliseconds
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
   * Returns the live instances that may be assigned workers and work: those that are neither
   * leaving nor drained. If there are none, all live ones, so that accepted work can finish.
   *
   * @param now the time in milliseconds
   * @return their names
   */
  public Set<String> candidates(long now) {
    Set<String> live = liveInstances(now);
    Set<String> staying = new HashSet<>(live);
    staying.removeAll(leaving);
    staying.removeAll(drained);
    return staying.isEmpty() ? live : staying;
  }

  /**
   * Returns whether one incarnation of an instance counts as live. An incarnation newer than the
   * linked one does: it may act before its link is up.
   *
   * @param name the instance's name
   * @param incarnation the incarnation
   * @param now the time in milliseconds
   * @return false also if a later incarnation has replaced it
   */
  public boolean isLive(String name, long incarnation, long now) {
    return Optional.ofNullable(members.get(name))
        .filter(member -> looksLive(name, member, now))
        .map(member -> member.incarnation.orElse(incarnation) <= incarnation)
        .orElse(false);
  }

  /**
   * Returns the preferred instance for a worker or a piece of work.
   *
   * @param key the worker's name, or the text of the work's key
   * @param now the time in milliseconds
   * @return the instance's name; never empty, since this instance is always live to itself
   */
  public String preferredInstance(String key, long now) {
    return RendezvousHash.preferred(candidates(now), key).orElse(own);
  }

  /** Returns the number of peers that are tracked, live or not. */
  int knownPeerCount() {
    return members.size();
  }

  private boolean looksLive(String name, Member member, long now) {
    if (member.linked) {
      return true;
    }
    return listed.contains(name) && now - member.sinceMillis <= timeoutMillis;
  }

  private boolean isRemovable(String name, Member member, long now) {
    return !listed.contains(name) && !looksLive(name, member, now);
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
