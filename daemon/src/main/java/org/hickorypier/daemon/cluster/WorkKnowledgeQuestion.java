package org.hickorypier.daemon.cluster;

import java.util.Set;
import java.util.TreeSet;
import org.hickorypier.core.model.WorkKey;

/**
 * The question after work whose home has moved.
 *
 * <p>Immutable.
 *
 * @param key the work
 * @param lostInstances the instances that the asking one takes for gone
 */
record WorkKnowledgeQuestion(WorkKey key, Set<String> lostInstances) {

  /** Neither team names, request ids nor names of instances have it. */
  private static final String SEPARATOR = " ";

  WorkKnowledgeQuestion {
    lostInstances = Set.copyOf(lostInstances);
  }

  static WorkKnowledgeQuestion parse(String text) {
    String[] words = text.split(SEPARATOR);
    Set<String> gone = new TreeSet<>();
    for (int index = 1; index < words.length; index++) {
      gone.add(words[index]);
    }
    return new WorkKnowledgeQuestion(Cluster.parseWorkKey(words[0]), gone);
  }

  String text() {
    StringBuilder text = new StringBuilder(key.toString());
    new TreeSet<>(lostInstances).forEach(name -> text.append(SEPARATOR).append(name));
    return text.toString();
  }
}
