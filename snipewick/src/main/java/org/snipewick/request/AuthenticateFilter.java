package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletableFuture;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;

/** Identifies the team of the caller by its bearer token, and refuses calls without a known one. */
final class AuthenticateFilter implements Filter {
  private final TeamIndex teams;

  private AuthenticateFilter(TeamIndex teams) {
    this.teams = teams;
  }

  static AuthenticateFilter of(TeamIndex teams) {
    return new AuthenticateFilter(requireNonNull(teams, "teams"));
  }

  @Override
  public CompletableFuture<Answer> apply(CallContext context, Chain next) {
    return CallerHeaders.token(context.request())
        .flatMap(teams::find)
        .map(team -> next.proceed(context.withTeam(team)))
        .orElseGet(AuthenticateFilter::refuse);
  }

  private static CompletableFuture<Answer> refuse() {
    return CompletableFuture.failedFuture(
        Failure.notRun(FailureType.UNAUTHENTICATED, "bearer token is missing or unknown")
            .toException());
  }
}
