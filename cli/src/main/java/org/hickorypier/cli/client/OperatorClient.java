package org.hickorypier.cli.client;

import io.smallrye.mutiny.Uni;
import org.hickorypier.language.result.StatementResult;

/**
 * The operators' interface of the daemons.
 *
 * <p>Thread safe. Every Uni fails with {@link NoServerException} if no server gave an answer.
 */
public interface OperatorClient extends AutoCloseable {

  /**
   * Sends a statement.
   *
   * @param statement its text
   * @param changeId the id under which a change takes effect once, however often it is sent
   * @return the result
   */
  Uni<StatementResult> submit(String statement, String changeId);

  /**
   * Asks how far a change has come.
   *
   * @param offset the offset at which it was accepted
   * @return the result, with who is behind
   */
  Uni<StatementResult> change(long offset);

  @Override
  void close();
}
