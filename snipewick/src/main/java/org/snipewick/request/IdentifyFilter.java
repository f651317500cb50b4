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

/** Finds out what a request is for. */
final class IdentifyFilter implements Filter {
  private static final String COMPLETIONS_PATH = "/v1/chat/completions";
  private static final String SERVICES_PATH = "/services/";
  private static final Set<String> NOT_PASSED_ON = Set.of("HEAD", "CONNECT", "TRACE");

  private final CatalogueSource catalogue;

  private IdentifyFilter(CatalogueSource catalogue) {
    this.catalogue = catalogue;
  }

  static IdentifyFilter of(CatalogueSource catalogue) {
    return new IdentifyFilter(requireNonNull(catalogue, "catalogue"));
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
    throw refusal(FailureType.NOT_FOUND, "no such path");
  }

  private Target modelOf(CallerRequest request) {
    if (!request.method().equals("POST")) {
      throw refusal(FailureType.METHOD_NOT_ALLOWED, "path takes POST only");
    }
    Prompt prompt = Prompt.parse(request.body());
    Entry.Model entry =
        catalogue
            .current()
            .find(Entry.Model.class, prompt.model())
            .orElseThrow(() -> refusal(FailureType.NOT_FOUND, "no such model"));
    checkSizes(entry, prompt);
    int limit = prompt.maxOutputTokens();
    return new Target.Model(
        entry, limit > 0 ? prompt : prompt.withMaxOutputTokens(entry.maxOutputTokens()));
  }

  private static void checkSizes(Entry.Model entry, Prompt prompt) {
    if (prompt.promptTokens() > entry.maxPromptTokens()) {
      throw refusal(
          FailureType.REQUEST_TOO_LARGE,
          "prompt exceeds " + entry.maxPromptTokens() + " tokens by estimate");
    }
    if (prompt.maxOutputTokens() > entry.maxOutputTokens()) {
      throw refusal(
          FailureType.MALFORMED_REQUEST,
          "limit of output tokens exceeds " + entry.maxOutputTokens());
    }
  }

  private Target serviceOf(CallerRequest request) {
    if (NOT_PASSED_ON.contains(request.method())) {
      throw refusal(FailureType.METHOD_NOT_ALLOWED, "method is not passed on");
    }
    String rest = request.pathAndQuery().substring(SERVICES_PATH.length());
    int end = nameEnd(rest);
    Entry.Service entry =
        catalogue
            .current()
            .find(Entry.Service.class, rest.substring(0, end))
            .orElseThrow(() -> refusal(FailureType.NOT_FOUND, "no such service"));
    if (request.body().length > entry.maxBodyBytes()) {
      throw refusal(
          FailureType.REQUEST_TOO_LARGE, "body exceeds " + entry.maxBodyBytes() + " bytes");
    }
    String path = rest.substring(end);
    return new Target.Service(entry, request.method(), path.startsWith("/") ? path : "/" + path);
  }

  private static int nameEnd(String rest) {
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
