package org.hickorypier.cli.client;

import java.util.List;
import java.util.stream.Collectors;

/** No server gave an answer. */
public final class NoServerException extends Exception {

  private final boolean mayHaveTakenEffect;

  /**
   * Creates the exception.
   *
   * @param failures what happened at each server, in the order they were tried
   */
  public NoServerException(List<ServerFailure> failures) {
    super(describe(failures));
    mayHaveTakenEffect = failures.stream().anyMatch(ServerFailure::mayHaveTakenEffect);
  }

  /**
   * Tells whether a server may have carried out the statement though its answer was lost.
   *
   * @return false if the statement certainly did not take effect
   */
  public boolean mayHaveTakenEffect() {
    return mayHaveTakenEffect;
  }

  private static String describe(List<ServerFailure> failures) {
    return failures.stream()
        .map(failure -> failure.server() + " " + failure.reason())
        .collect(Collectors.joining("; ", "no server answered: ", ""));
  }
}
