package org.snipewick.catalogue;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Set;
import org.snipewick.identity.Tier;

/** Entry of the catalogue: the settings of one team, model, service or endpoint. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
  @JsonSubTypes.Type(value = Entry.Team.class, name = "team"),
  @JsonSubTypes.Type(value = Entry.Model.class, name = "model"),
  @JsonSubTypes.Type(value = Entry.Service.class, name = "service"),
  @JsonSubTypes.Type(value = Entry.Endpoint.class, name = "endpoint")
})
public sealed interface Entry {

  /**
   * Returns the name, unique among entries of the same kind.
   *
   * @return name
   */
  String name();

  /**
   * Returns who is responsible for the entry.
   *
   * @return owner
   */
  String owner();

  /**
   * Returns the tier of the entry: of a team the highest tier that it may request, of a model or
   * service the tier of requests that name none, of an endpoint the lowest tier that it serves.
   *
   * @return tier
   */
  Tier tier();

  /**
   * Returns the key of the entry, unique in the catalogue.
   *
   * @return kind in lower case, a slash and the name
   */
  default String key() {
    return getClass().getSimpleName().toLowerCase(java.util.Locale.ROOT) + "/" + name();
  }

  /**
   * A team of callers.
   *
   * @param name name of the team
   * @param owner who is responsible for it
   * @param tier highest tier that it may request
   * @param tokenSha256 SHA-256 of its bearer token, in lower-case hexadecimal
   * @param tokensPerSecond limit of prompt and output tokens per second, over all instances
   * @param requestsPerSecond limit of requests per second, over all instances
   * @param inFlight limit of requests in flight, over all instances
   */
  record Team(
      String name,
      String owner,
      Tier tier,
      String tokenSha256,
      double tokensPerSecond,
      double requestsPerSecond,
      int inFlight)
      implements Entry {

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if the name or owner is blank, the name is longer than 128
     *     characters or a limit is not positive
     */
    public Team {
      EntryChecks.checkCommonFields(name, owner, tier);
      requireNonNull(tokenSha256, "tokenSha256");
      EntryChecks.checkPositive(tokensPerSecond, "tokensPerSecond");
      EntryChecks.checkPositive(requestsPerSecond, "requestsPerSecond");
      EntryChecks.checkPositive(inFlight, "inFlight");
    }
  }

  /**
   * A model, served by a pool of engines.
   *
   * @param name name of the model, as callers send it
   * @param owner who is responsible for it
   * @param tier tier of requests that name none
   * @param maxPromptTokens length of the longest prompt accepted, in tokens
   * @param maxOutputTokens length of the longest response that may be requested, in tokens
   * @param timeoutMillis timeout of requests that name none, in milliseconds
   */
  record Model(
      String name,
      String owner,
      Tier tier,
      int maxPromptTokens,
      int maxOutputTokens,
      long timeoutMillis)
      implements Entry {

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if the name or owner is blank, the name is longer than 128
     *     characters, or a limit or the timeout is not positive
     */
    public Model {
      EntryChecks.checkCommonFields(name, owner, tier);
      EntryChecks.checkPositive(maxPromptTokens, "maxPromptTokens");
      EntryChecks.checkPositive(maxOutputTokens, "maxOutputTokens");
      EntryChecks.checkPositive((double) timeoutMillis, "timeoutMillis");
    }
  }

  /**
   * A service other than a model, called by plain HTTP requests.
   *
   * @param name name of the service, as callers send it
   * @param owner who is responsible for it
   * @param tier tier of requests that name none
   * @param timeoutMillis timeout of requests that name none, in milliseconds
   * @param maxBodyBytes size of the largest body of a request or response, in bytes
   * @param inFlightPerEndpoint limit of requests in flight at one endpoint
   * @param repeatableMethods HTTP methods whose requests may be retried without an idempotency key;
   *     others need one
   */
  record Service(
      String name,
      String owner,
      Tier tier,
      long timeoutMillis,
      int maxBodyBytes,
      int inFlightPerEndpoint,
      Set<String> repeatableMethods)
      implements Entry {

    /**
     * Checks the components and copies the methods.
     *
     * @throws IllegalArgumentException if the name or owner is blank, the name is longer than 128
     *     characters, or a limit or the timeout is not positive
     */
    public Service {
      EntryChecks.checkCommonFields(name, owner, tier);
      EntryChecks.checkPositive((double) timeoutMillis, "timeoutMillis");
      EntryChecks.checkPositive(maxBodyBytes, "maxBodyBytes");
      EntryChecks.checkPositive(inFlightPerEndpoint, "inFlightPerEndpoint");
      repeatableMethods = Set.copyOf(repeatableMethods);
    }
  }

  /**
   * Settings of one endpoint.
   *
   * @param name name of the endpoint, as the platform lists it
   * @param owner who is responsible for it
   * @param tier lowest tier that it serves
   * @param drained whether an operator has drained it: it receives no new requests
   * @param checksFencing whether it rejects orders with a lower fencing number than it has seen
   */
  record Endpoint(String name, String owner, Tier tier, boolean drained, boolean checksFencing)
      implements Entry {

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if the name or owner is blank or the name is longer than 128
     *     characters
     */
    public Endpoint {
      EntryChecks.checkCommonFields(name, owner, tier);
    }
  }
}
