package org.hickorypier.daemon.node;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.hickorypier.daemon.report.LineLog;
import org.hickorypier.standins.fault.Fault;
import org.hickorypier.standins.fault.FaultPlan;

/**
 * Writes the logs that docs/OPERATIONS.md explains: three failed requests over the stand-ins.
 *
 * <p>Run by hand when events change; the page and the logs beside its test are replaced together.
 */
final class LogSamples {

  private LogSamples() {}

  /**
   * Plays the three failures.
   *
   * @param arguments the folder to write to
   * @throws Exception if an instance does not do what the sample shows
   */
  public static void main(String[] arguments) throws Exception {
    Path folder = Files.createDirectories(Path.of(arguments[0]));
    writeRefusedSample(folder);
    writeLateSample(folder);
    writeUnknownOutcomeSample(folder);
  }

  private static void writeRefusedSample(Path folder) throws Exception {
    try (SmallCluster cluster = clusterLoggingTo(folder, "refused", 2, 50)) {
      SmallCluster.Instance instance = startWithOwner(cluster);
      cluster.storeServer.gate().plan(FaultPlan.always("append", Fault.UNAVAILABLE));
      // The first caller meets the outage before the owner knows of it, and waits in vain.
      cluster.submit(instance, "5c0e7a21d94b36f9", 1);
      if (cluster.submit(instance, "5c0e7a21d94b36f1", 1).status() != 503) {
        throw new IllegalStateException("not refused");
      }
      cluster.storeServer.gate().plan(FaultPlan.NONE);
      cluster.waitUntil(() -> cluster.submit(instance, "5c0e7a21d94b36f1", 1).status() == 200);
      cluster.waitUntil(() -> cluster.state(instance, "5c0e7a21d94b36f1").equals("completed"));
    }
  }

  private static void writeLateSample(Path folder) throws Exception {
    try (SmallCluster cluster = clusterLoggingTo(folder, "late", 2, 1_500)) {
      SmallCluster.Instance instance = startWithOwner(cluster);
      cluster.submit(instance, "5c0e7a21d94b36f2", 1);
      cluster.waitUntil(() -> cluster.starts().size() == 2);
      String start = "5c0e7a21d94b36f2.0.0.0#1";
      int holder = cluster.workers.get(0).history().contains(start) ? 0 : 1;
      cluster
          .workerServers
          .get(holder)
          .gate()
          .plan(FaultPlan.always("", Fault.SILENT_BEFORE_EFFECT));
      cluster.waitUntil(() -> cluster.state(instance, "5c0e7a21d94b36f2").equals("completed"));
    }
  }

  private static void writeUnknownOutcomeSample(Path folder) throws Exception {
    try (SmallCluster cluster = clusterLoggingTo(folder, "unknown", 2, 50)) {
      SmallCluster.Instance instance = startWithOwner(cluster);
      cluster.storeServer.gate().plan(FaultPlan.always("append", Fault.SILENT_BEFORE_EFFECT));
      int status = cluster.submit(instance, "5c0e7a21d94b36f3", 1).status();
      if (status != 504) {
        throw new IllegalStateException("status " + status);
      }
      cluster.storeServer.gate().plan(FaultPlan.NONE);
      cluster.waitUntil(() -> cluster.state(instance, "5c0e7a21d94b36f3").equals("completed"));
    }
  }

  private static SmallCluster.Instance startWithOwner(SmallCluster cluster) throws Exception {
    SmallCluster.Instance instance = cluster.start();
    cluster.waitUntil(() -> cluster.submit(instance, "5c0e7a21d94b36f0", 1).status() == 200);
    cluster.waitUntil(() -> cluster.state(instance, "5c0e7a21d94b36f0").equals("completed"));
    return instance;
  }

  private static SmallCluster clusterLoggingTo(
      Path folder, String name, int workers, long workMillis) throws Exception {
    SmallCluster cluster = new SmallCluster(workers, workMillis);
    OutputStream stream = Files.newOutputStream(folder.resolve(name + ".log"));
    LineLog log = new LineLog("instance-0", System::currentTimeMillis, stream);
    cluster.log = log;
    cluster.onClose =
        () -> {
          log.close();
          try {
            stream.close();
          } catch (IOException error) {
            throw new IllegalStateException(error);
          }
        };
    return cluster;
  }
}
