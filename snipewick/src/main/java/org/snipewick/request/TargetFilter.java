package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.snipewick.catalogue.CatalogueSource;
import org.snipewick.catalogue.Entry;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;

/**
 * Resolves the model or service that a request is for, checks the request's size and reads its
 * idempotency key.
 */
final class TargetFilter implements Filter {
  private static final String COMPLETIONS_PATH = "/v1/chat/completions";
  private static final String SERVICES_PATH = "/services/";
  private static final Set<String> UNSUPPORTED_METHODS = Set.of("HEAD", "CONNECT", "TRACE");

  private final CatalogueSource catalogue;

  private TargetFilter(CatalogueSource catalogue) {
    this.catalogue = catalogue;
  }

  static TargetFilter of(CatalogueSource catalogue) {
    return new TargetFilter(requireNonNull(catalogue, "catalogue"));
  }

  @Override
  public CompletableFuture<Answer> apply(CallContext context, Chain next) {
    Optional<String> key = CallerHeaders.key(context.request());
    return next.proceed(context.withTarget(targetOf(context.request()), key));
  }

  private Target targetOf(CallerRequest request) {
    if (request.path().equals(COMPLETIONS_PATH)) {
      return modelOf(request);
    }
    if (request.path().startsWith(SERVICES_PATH)) {
      return serviceOf(request);
    }
    throw refusal(FailureType.NOT_FOUND, "path does not exist");
  }

  private Target modelOf(CallerRequest request) {
    if (!request.method().equals("POST")) {
      throw refusal(FailureType.METHOD_NOT_ALLOWED, "path supports POST only");
    }
    Prompt prompt = Prompt.parse(request.body());
    Entry.Model entry =
        catalogue
            .current()
            .find(Entry.Model.class, prompt.model())
            .orElseThrow(() -> refusal(FailureType.NOT_FOUND, "model does not exist"));
    checkTokenLimits(entry, prompt);
    int limit = prompt.maxOutputTokens();
    return new Target.Model(
        entry, limit > 0 ? prompt : prompt.withMaxOutputTokens(entry.maxOutputTokens()));
  }

  private static void checkTokenLimits(Entry.Model entry, Prompt prompt) {
    if (prompt.promptTokens() > entry.maxPromptTokens()) {
      throw refusal(
          FailureType.REQUEST_TOO_LARGE,
          "estimated prompt length exceeds " + entry.maxPromptTokens() + " tokens");
    }
    if (prompt.maxOutputTokens() > entry.maxOutputTokens()) {
      throw refusal(
          FailureType.MALFORMED_REQUEST,
          "requested maximum of output tokens exceeds " + entry.maxOutputTokens());
    }
  }

  private Target serviceOf(CallerRequest request) {
    if (UNSUPPORTED_METHODS.contains(request.method())) {
      throw refusal(FailureType.METHOD_NOT_ALLOWED, "services do not support this method");
    }
    String rest = request.pathAndQuery().substring(SERVICES_PATH.length());
    int end = endOfName(rest);
    Entry.Service entry =
        catalogue
            .current()
            .find(Entry.Service.class, rest.substring(0, end))
            .orElseThrow(() -> refusal(FailureType.NOT_FOUND, "service does not exist"));
    if (request.body().length > entry.maxBodyBytes()) {
      throw refusal(
          FailureType.REQUEST_TOO_LARGE, "body exceeds " + entry.maxBodyBytes() + " bytes");
    }
    String path = rest.substring(end);
    return new Target.Service(entry, request.method(), path.startsWith("/") ? path : "/" + path);
  }

  private static int endOfName(String rest) {
    int index = 0;
    while (index < rest.length() && rest.charAt(index) != '/' && rest.charAt(index) != '?') {
      index++;
    }
    return index;
  }

  private static FailureException refusal(FailureType type, String detail) {
    return Failure.notRun(type, detail).toException();
  }
}
