package org.hickorypier.daemon.cluster;

import java.util.Set;
import java.util.TreeSet;
import org.hickorypier.core.model.WorkKey;

/**
 * A question about work whose home has moved.
 *
 * <p>Immutable.
 *
 * @param key the key of the work
 * @param lostInstances the instances that the asking instance considers lost
 */
record WorkKnowledgeQuestion(WorkKey key, Set<String> lostInstances) {

  /** A space occurs in no team name, request id or instance name. */
  private static final String SEPARATOR = " ";

  WorkKnowledgeQuestion {
    lostInstances = Set.copyOf(lostInstances);
  }

  static WorkKnowledgeQuestion parse(String text) {
    String[] words = text.split(SEPARATOR);
    Set<String> lost = new TreeSet<>();
    for (int index = 1; index < words.length; index++) {
      lost.add(words[index]);
    }
    return new WorkKnowledgeQuestion(Cluster.parseWorkKey(words[0]), lost);
  }

  String text() {
    StringBuilder text = new StringBuilder(key.toString());
    new TreeSet<>(lostInstances).forEach(name -> text.append(SEPARATOR).append(name));
    return text.toString();
  }
}
