package org.hickorypier.daemon;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.hickorypier.daemon.entry.Readiness;

/** The HTTP interface for the balancer and for metrics. Thread safe. */
final class HealthRoutes {

  private static final int STATUS_READY = 200;
  private static final int STATUS_NOT_READY = 503;

  private final Executor control;
  private final Readiness readiness;
  private final PrometheusMeterRegistry registry;

  HealthRoutes(Executor control, Readiness readiness, PrometheusMeterRegistry registry) {
    this.control = control;
    this.readiness = readiness;
    this.registry = registry;
  }

  void mount(Router router) {
    router.get("/health/live").handler(context -> context.end("live\n"));
    router.get("/health/ready").handler(context -> control.execute(() -> ready(context)));
    router.get("/metrics").handler(context -> context.end(registry.scrape()));
  }

  private void ready(RoutingContext context) {
    Optional<String> obstacle = readiness.unreadyReason();
    context
        .response()
        .setStatusCode(obstacle.isEmpty() ? STATUS_READY : STATUS_NOT_READY)
        .end(obstacle.orElse("ready") + "\n");
  }
}
