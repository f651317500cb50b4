package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.snipewick.endpoint.EngineCall;
import org.snipewick.endpoint.ServiceCall;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.Outcome;
import org.snipewick.pool.PoolClient;
import org.snipewick.pool.WorkEvent;
import org.snipewick.time.TimerService;

/** Dispatches a call to the endpoint of its permit. */
final class DispatchFilter implements Filter {
  /** Length up to which a streamed answer is stored for duplicate requests. */
  private static final int MAX_TRANSCRIPT_CHARACTERS = 256 * 1024;

  private static final Set<String> FORWARDED_HEADERS = Set.of("content-type", "accept");

  private final TimerService timer;
  private final EventLog log;

  private DispatchFilter(TimerService timer, EventLog log) {
    this.timer = timer;
    this.log = log;
  }

  static DispatchFilter of(TimerService timer, EventLog log) {
    return new DispatchFilter(requireNonNull(timer, "timer"), requireNonNull(log, "log"));
  }

  @Override
  public CompletableFuture<Answer> apply(CallContext context, Chain next) {
    PoolClient.Permit permit = context.permit();
    CallLifecycle lifecycle = context.lifecycle();
    if (!lifecycle.beginDispatch()) {
      return notDispatched(permit, abandonmentReason(lifecycle));
    }
    if (!permit.use()) {
      lifecycle.revertDispatch();
      return notDispatched(
          permit, Failure.notRun(FailureType.ENDPOINT_REFUSED, "permit has expired"));
    }
    log.record(EventType.REQUEST_DISPATCHED, context.id().toString(), dispatchDetails(context));
    return dispatch(context);
  }

  private CompletableFuture<Answer> dispatch(CallContext context) {
    ActiveDispatch dispatch = ActiveDispatch.of(context, log);
    if (context.target() instanceof Target.Model model) {
      EngineCall call = engineCall(context);
      return model.prompt().streamed()
          ? StreamDispatch.toEngine(dispatch, call, streamFor(context), timer)
          : WholeDispatch.toEngine(dispatch, call);
    }
    if (context.target().isAction()) {
      context.lifecycle().continueWithoutCaller();
    }
    return WholeDispatch.toService(
        dispatch, serviceCall(context, (Target.Service) context.target()));
  }

  private static CompletableFuture<Answer> notDispatched(
      PoolClient.Permit permit, Failure failure) {
    permit.finish(WorkEvent.Result.NOT_DISPATCHED, 0);
    return CompletableFuture.failedFuture(failure.toException());
  }

  private static Failure abandonmentReason(CallLifecycle lifecycle) {
    Failure unknownReason = Failure.notRun(FailureType.INTERNAL, "call cannot be dispatched");
    return lifecycle.abandonment().getNow(unknownReason).withOutcome(Outcome.NOT_RUN);
  }

  private static AnswerStream streamFor(CallContext context) {
    return context.key().isPresent()
        ? AnswerStream.withTranscript(MAX_TRANSCRIPT_CHARACTERS)
        : AnswerStream.empty();
  }

  private static EngineCall engineCall(CallContext context) {
    return new EngineCall(
        context.id(), context.permit().endpoint(), context.key(), context.request().body());
  }

  private static ServiceCall serviceCall(CallContext context, Target.Service service) {
    Map<String, String> headers =
        context.request().headers().entrySet().stream()
            .filter(header -> FORWARDED_HEADERS.contains(header.getKey()))
            .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    return new ServiceCall(
        context.id(),
        context.permit().endpoint(),
        service.method(),
        service.pathAndQuery(),
        headers,
        context.key(),
        context.request().body(),
        service.entry().maxBodyBytes());
  }

  private static Map<String, Object> dispatchDetails(CallContext context) {
    String endpoint = context.permit().endpoint().id().toString();
    Optional<String> key = context.key();
    return key.isPresent()
        ? Map.of("endpoint", endpoint, "tier", context.tier().number(), "key", key.get())
        : Map.of("endpoint", endpoint, "tier", context.tier().number());
  }
}
