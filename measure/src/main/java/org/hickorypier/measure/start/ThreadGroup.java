package org.hickorypier.measure.start;

import java.util.List;

/** The threads of the program by what they do. */
enum ThreadGroup {
  COMPILER("C1 CompilerThre", "C2 CompilerThre", "Sweeper thread"),
  RUNTIME(
      "VM ", "GC ", "Signal Dispatch", "Reference Handl", "Finalizer", "Monitor Deflati", "Serv"),
  EVENT_LOOPS("vert.x-eventloo", "vert.x-acceptor"),
  OTHERS("");

  private final List<String> prefixes;

  ThreadGroup(String... prefixes) {
    this.prefixes = List.of(prefixes);
  }

  /**
   * Returns the group of a thread.
   *
   * @param name its name as the kernel keeps it, cut to 15 characters
   */
  static ThreadGroup of(String name) {
    for (ThreadGroup group : values()) {
      if (group.prefixes.stream().anyMatch(name::startsWith)) {
        return group;
      }
    }
    return OTHERS;
  }
}
