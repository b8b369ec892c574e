package org.hickorypier.measure.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * One Java process, started from this process's own class path.
 *
 * <p>Thread safe. The last lines of its output are kept, for reports of failures.
 */
public final class JavaProcess implements AutoCloseable {

  private static final int KEPT_LINES = 4_000;
  private static final long START_SECONDS = 30;
  private static final String STOP_SIGNAL = "-STOP";
  private static final String CONTINUE_SIGNAL = "-CONT";

  private final String name;
  private final Process process;
  private final Deque<String> output = new ArrayDeque<>();
  private PrintWriter copy;

  private JavaProcess(String name, Process process) {
    this.name = name;
    this.process = process;
    Thread reader = new Thread(this::read, "output of " + name);
    reader.setDaemon(true);
    reader.start();
  }

  /**
   * Starts a process.
   *
   * @param name its name in reports
   * @param mainClass the class to run
   * @param heapMebibytes the largest heap
   * @param environment variables beside those of this process
   * @param arguments its command line
   * @return the process
   * @throws FleetException if it cannot be started
   */
  public static JavaProcess start(
      String name,
      String mainClass,
      int heapMebibytes,
      Map<String, String> environment,
      List<String> arguments)
      throws FleetException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.add("-Xmx" + heapMebibytes + "m");
    command.add("-XX:+UseSerialGC");
    command.add("-XX:TieredStopAtLevel=1");
    command.add("-cp");
    command.add(classPath());
    command.add(mainClass);
    command.addAll(arguments);
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().putAll(environment);
    try {
      return new JavaProcess(name, builder.start());
    } catch (IOException error) {
      throw new FleetException(name + " cannot be started", error);
    }
  }

  /**
   * Waits for lines of output.
   *
   * @param prefix what the lines start with
   * @param count how many of them
   * @return the lines
   * @throws FleetException if the process ends or stays silent for too long
   */
  public List<String> awaitLines(String prefix, int count) throws FleetException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS);
    synchronized (output) {
      List<String> found = matching(prefix);
      while (found.size() < count) {
        long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
        if (left <= 0 || !process.isAlive()) {
          throw new FleetException(name + " printed no '" + prefix + "':\n" + output(), null);
        }
        try {
          output.wait(Math.min(left, 200));
        } catch (InterruptedException error) {
          Thread.currentThread().interrupt();
          throw new FleetException(name + ": interrupted", error);
        }
        found = matching(prefix);
      }
      return found;
    }
  }

  /**
   * Returns the last lines of output.
   *
   * @return the lines
   */
  public String output() {
    synchronized (output) {
      return String.join("\n", output);
    }
  }

  /**
   * Writes all that is kept of the output, and all that comes, to a file as well.
   *
   * @param file the file, which is made anew
   * @throws FleetException if it cannot be written
   */
  public void copyOutput(Path file) throws FleetException {
    synchronized (output) {
      try {
        copy = new PrintWriter(Files.newBufferedWriter(file), true);
      } catch (IOException error) {
        throw new FleetException(name + ": no output to " + file, error);
      }
      output.forEach(copy::println);
    }
  }

  /**
   * Returns the number under which the operating system knows the process.
   *
   * @return the process id
   */
  public long id() {
    return process.pid();
  }

  /**
   * Tells whether the process runs.
   *
   * @return false once it has ended
   */
  public boolean isAlive() {
    return process.isAlive();
  }

  /**
   * Kills the process (SIGKILL) and waits for its end.
   *
   * @throws FleetException if interrupted
   */
  public void kill() throws FleetException {
    process.destroyForcibly();
    awaitExit();
  }

  /**
   * Writes a line to the standard input of the process.
   *
   * @param line the line
   * @throws FleetException if the process does not take it
   */
  public void send(String line) throws FleetException {
    try {
      process.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
      process.getOutputStream().flush();
    } catch (IOException error) {
      throw new FleetException(name + " does not read", error);
    }
  }

  /** Asks the process to shut down (SIGTERM). */
  public void terminate() {
    process.destroy();
  }

  /**
   * Waits for the end of the process.
   *
   * @return its exit code
   * @throws FleetException if interrupted
   */
  public int awaitExit() throws FleetException {
    try {
      return process.waitFor();
    } catch (InterruptedException error) {
      Thread.currentThread().interrupt();
      throw new FleetException(name + ": interrupted", error);
    }
  }

  /**
   * Pauses the process (SIGSTOP).
   *
   * @throws FleetException if the signal cannot be sent
   */
  public void pause() throws FleetException {
    signal(STOP_SIGNAL);
  }

  /**
   * Lets a paused process go on (SIGCONT).
   *
   * @throws FleetException if the signal cannot be sent
   */
  public void resume() throws FleetException {
    signal(CONTINUE_SIGNAL);
  }

  /** Kills the process, paused or not. */
  @Override
  public void close() {
    process.destroyForcibly();
  }

  private void signal(String signal) throws FleetException {
    try {
      int code =
          new ProcessBuilder("/bin/kill", signal, String.valueOf(process.pid())).start().waitFor();
      if (code != 0) {
        throw new FleetException(name + ": signal " + signal + " not sent", null);
      }
    } catch (IOException error) {
      throw new FleetException(name + ": signal " + signal + " not sent", error);
    } catch (InterruptedException error) {
      Thread.currentThread().interrupt();
      throw new FleetException(name + ": interrupted", error);
    }
  }

  private List<String> matching(String prefix) {
    return output.stream().filter(line -> line.startsWith(prefix)).toList();
  }

  private void read() {
    try (BufferedReader reader = process.inputReader(StandardCharsets.UTF_8)) {
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        keep(line);
      }
    } catch (IOException error) {
      keep("output ended: " + error.getMessage());
    }
  }

  private void keep(String line) {
    synchronized (output) {
      output.addLast(line);
      if (copy != null) {
        copy.println(line);
      }
      if (output.size() > KEPT_LINES) {
        output.removeFirst();
      }
      output.notifyAll();
    }
  }

  /** Surefire runs tests from a jar that only names the real class path. */
  private static String classPath() {
    return System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
  }
}
