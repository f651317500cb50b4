package org.snipewick.admin;

import static org.snipewick.admin.AdminRoute.forOperators;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.concurrent.CompletableFuture;
import org.snipewick.catalogue.Acceptance;
import org.snipewick.catalogue.Catalogue;
import org.snipewick.catalogue.CatalogueController;
import org.snipewick.catalogue.Change;
import org.snipewick.catalogue.Entry;
import org.snipewick.catalogue.ParsedEdits;
import org.snipewick.catalogue.Proposal;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;

/** Routes of the administrative API that read and edit the catalogue. */
public final class CatalogueRoutes {
  private final CatalogueController catalogue;

  private CatalogueRoutes(CatalogueController catalogue) {
    this.catalogue = catalogue;
  }

  /**
   * Returns the routes of a catalogue.
   *
   * @param catalogue catalogue of this instance
   * @return routes
   */
  public static List<AdminRoute> of(CatalogueController catalogue) {
    CatalogueRoutes routes = new CatalogueRoutes(catalogue);
    return List.of(
        forOperators("GET", "/admin/catalogue", request -> routes.get()),
        forOperators("POST", "/admin/catalogue/edits", routes::edit),
        forOperators("GET", "/admin/catalogue/history", routes::history),
        forOperators("GET", "/admin/catalogue/changes/:changeId", routes::changeState));
  }

  private CompletableFuture<AdminResponse> get() {
    Catalogue current = catalogue.current();
    List<Entry> entries = current.all(Entry.class);
    return CompletableFuture.completedFuture(
        AdminResponse.json(new CatalogueDocument(current.version(), entries))
            .withHeader("ETag", "\"" + current.version() + "\""));
  }

  private CompletableFuture<AdminResponse> edit(AdminRequest request) {
    ParsedEdits parsed = ParsedEdits.of(request.json().get("edits"));
    if (!parsed.faults().isEmpty()) {
      Failure failure =
          Failure.notRun(FailureType.CATALOGUE_INVALID, String.join("; ", parsed.faults()));
      return CompletableFuture.completedFuture(
          AdminResponse.problem(failure, Map.of("faults", parsed.faults())));
    }
    return catalogue
        .propose(request.operator(), request.version(), parsed.edits())
        .thenCompose(this::submit);
  }

  private CompletableFuture<AdminResponse> submit(Proposal proposal) {
    return catalogue
        .submit(proposal)
        .handle(
            (acceptance, failure) ->
                failure == null
                    ? accepted(acceptance)
                    : submitProblem(proposal, FailureException.unwrap(failure)));
  }

  private static AdminResponse accepted(Acceptance acceptance) {
    return AdminResponse.json(acceptance).withHeader("ETag", "\"" + acceptance.version() + "\"");
  }

  private AdminResponse submitProblem(Proposal proposal, Failure failure) {
    Map<String, Object> extensions = new LinkedHashMap<>();
    extensions.put("changeId", proposal.change().changeId());
    extensions.put("version", catalogue.current().version());
    return AdminResponse.problem(failure, extensions);
  }

  private CompletableFuture<AdminResponse> history(AdminRequest request) {
    return catalogue
        .history(request.number("after", 0))
        .thenApply(changes -> AdminResponse.json(Map.of("changes", toAcceptedChanges(changes))));
  }

  private static List<AcceptedChange> toAcceptedChanges(SortedMap<Long, Change> changes) {
    List<AcceptedChange> list = new ArrayList<>();
    changes.forEach((version, change) -> list.add(new AcceptedChange(version, change)));
    return list;
  }

  private CompletableFuture<AdminResponse> changeState(AdminRequest request) {
    String changeId = request.parameters().get("changeId");
    return catalogue
        .stateOf(changeId)
        .thenApply(state -> AdminResponse.json(Map.of("changeId", changeId, "state", state)));
  }

  /**
   * Catalogue as it is returned to operators.
   *
   * @param version version of the catalogue
   * @param entries all entries, in order of their keys
   */
  record CatalogueDocument(long version, List<Entry> entries) {}

  /**
   * Accepted change with the version that it created.
   *
   * @param version version of the catalogue that the change created
   * @param change content of the change
   */
  record AcceptedChange(long version, Change change) {}
}
