package org.hickorypier.standins.store;

import io.vertx.core.json.JsonObject;

/** The store does not do what was asked, and says why. */
public final class StoreRefusal extends Exception {

  private final int status;
  private final transient JsonObject body;

  /**
   * Creates the refusal.
   *
   * @param status the HTTP status
   * @param body the details
   */
  public StoreRefusal(int status, JsonObject body) {
    super("status " + status + " " + body);
    this.status = status;
    this.body = body;
  }

  /**
   * Returns the HTTP status.
   *
   * @return the status
   */
  public int status() {
    return status;
  }

  /**
   * Returns the details.
   *
   * @return the body of the answer
   */
  public JsonObject body() {
    return body;
  }
}
