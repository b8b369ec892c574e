package org.hickorypier.standins.main;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import org.apache.commons.cli.ParseException;
import org.hickorypier.platform.http.HttpReply;
import org.hickorypier.platform.http.HttpTimeouts;
import org.hickorypier.platform.http.JsonCodec;
import org.hickorypier.platform.http.ServiceAddress;
import org.hickorypier.platform.http.ServiceHttpClient;
import org.hickorypier.platform.instance.InstanceKind;
import org.hickorypier.platform.instance.InstanceState;
import org.hickorypier.platform.instance.ListedInstance;
import org.hickorypier.platform.worker.WorkerStatus;

/**
 * Fills the stand-in instance list from the command line.
 *
 * <p>Instances are given as {@code name,KIND,STATE,address,peerAddress,dataCentre,rack}; a worker
 * may be given by its address alone and is asked what it is.
 */
public final class RegisterMain {

  private static final int FIELDS = 7;
  private static final int CONNECTIONS = 1;

  private final Vertx vertx;
  private final ServiceHttpClient list;

  private RegisterMain(Vertx vertx, ServiceAddress address) {
    this.vertx = vertx;
    this.list = new ServiceHttpClient(vertx, address, HttpTimeouts.STORE, CONNECTIONS);
  }

  /**
   * Registers or removes instances and ends.
   *
   * @param arguments the command line
   */
  public static void main(String[] arguments) {
    StandInProcess.run(
        () -> {
          Flags flags =
              new Flags()
                  .flag("list", "host:port", "where the instance list listens")
                  .repeated("worker", "host:port", "a worker to register; may be repeated")
                  .repeated("remove", "name", "an instance to remove; may be repeated")
                  .toggle("standard-input", "register workers from lines: listening ... HOST:PORT")
                  .parse(arguments);
          RegisterMain register =
              new RegisterMain(
                  StandInProcess.vertx(1), ServiceAddress.parse(flags.required("list")));
          int done = register.apply(flags);
          System.out.println("registered " + done);
          System.exit(0);
        });
  }

  private int apply(Flags flags) throws ParseException, ExecutionException, InterruptedException {
    int done = 0;
    for (String name : flags.texts("remove")) {
      await(list.call(HttpMethod.DELETE, "/instances/" + name, null, Duration.ZERO));
      done++;
    }
    for (String form : flags.rest()) {
      put(parse(form));
      done++;
    }
    for (String address : workers(flags)) {
      put(describe(address));
      done++;
    }
    return done;
  }

  private static List<String> workers(Flags flags) throws ParseException {
    List<String> workers = new ArrayList<>(List.of(flags.texts("worker")));
    if (flags.has("standard-input")) {
      BufferedReader reader =
          new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
      try {
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
          workers.add(line.substring(line.lastIndexOf(' ') + 1));
        }
      } catch (IOException error) {
        throw new ParseException("standard input: " + error.getMessage());
      }
    }
    return workers;
  }

  private ListedInstance describe(String address)
      throws ParseException, ExecutionException, InterruptedException {
    try (ServiceHttpClient worker =
        new ServiceHttpClient(
            vertx, ServiceAddress.parse(address), HttpTimeouts.STORE, CONNECTIONS)) {
      HttpReply reply = await(worker.call(HttpMethod.GET, "/status", null, Duration.ZERO));
      WorkerStatus status = JsonCodec.decode(reply.body(), WorkerStatus.class);
      return new ListedInstance(
          status.name(),
          InstanceKind.WORKER,
          status.leaving() ? InstanceState.LEAVING : InstanceState.LIVE,
          address,
          "",
          status.dataCentre(),
          status.rack());
    } catch (IOException error) {
      throw new ParseException(address + " is not a worker: " + error.getMessage());
    }
  }

  private void put(ListedInstance instance) throws ExecutionException, InterruptedException {
    await(list.call(HttpMethod.PUT, "/instances/" + instance.name(), instance, Duration.ZERO));
  }

  private static ListedInstance parse(String form) throws ParseException {
    String[] fields = form.split(",", -1);
    if (fields.length != FIELDS) {
      throw new ParseException("not name,KIND,STATE,address,peerAddress,dataCentre,rack: " + form);
    }
    try {
      return new ListedInstance(
          fields[0],
          InstanceKind.valueOf(fields[1]),
          InstanceState.valueOf(fields[2]),
          fields[3],
          fields[4],
          fields[5],
          fields[6]);
    } catch (IllegalArgumentException error) {
      throw new ParseException(form + ": " + error.getMessage());
    }
  }

  private static HttpReply await(Future<HttpReply> reply)
      throws ExecutionException, InterruptedException {
    return reply.toCompletionStage().toCompletableFuture().get();
  }
}
