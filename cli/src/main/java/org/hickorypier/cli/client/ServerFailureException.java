package org.hickorypier.cli.client;

/** One server gave no answer; the next one may. */
final class ServerFailureException extends Exception {

  private final transient ServerFailure failure;

  ServerFailureException(ServerFailure failure) {
    super(failure.reason());
    this.failure = failure;
  }

  ServerFailure failure() {
    return failure;
  }
}
