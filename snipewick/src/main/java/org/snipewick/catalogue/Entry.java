package org.snipewick.catalogue;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Set;
import org.snipewick.identity.Tier;

/** Entry of the catalogue. */
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
   * Returns who answers for the entry.
   *
   * @return owner
   */
  String owner();

  /**
   * Returns the class of the entry: for a team the highest tier that it may ask for, for a model or
   * service the tier of requests that ask for none.
   *
   * @return tier
   */
  Tier tier();

  /**
   * Returns the key of the entry in the catalogue.
   *
   * @return kind and name
   */
  default String key() {
    return getClass().getSimpleName().toLowerCase(java.util.Locale.ROOT) + "/" + name();
  }

  /**
   * A team of callers.
   *
   * @param name name of the team
   * @param owner who answers for it
   * @param tier highest tier that it may ask for
   * @param tokenSha256 SHA-256 of its bearer token, in lower-case hexadecimal
   * @param tokensPerSecond limit of prompt and output tokens per second over all instances
   * @param requestsPerSecond limit of requests per second over all instances
   * @param inFlight limit of requests in flight over all instances
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

    /** Checks the parts. */
    public Team {
      Checks.common(name, owner, tier);
      requireNonNull(tokenSha256, "tokenSha256");
      Checks.positive(tokensPerSecond, "tokensPerSecond");
      Checks.positive(requestsPerSecond, "requestsPerSecond");
      Checks.positive(inFlight, "inFlight");
    }
  }

  /**
   * A model, served by a pool of engines.
   *
   * @param name name of the model, as callers give it
   * @param owner who answers for it
   * @param tier tier of requests that ask for none
   * @param maxPromptTokens longest prompt accepted
   * @param maxOutputTokens longest answer that may be asked for
   * @param timeoutMillis agreed time of requests that give none, in milliseconds
   */
  record Model(
      String name,
      String owner,
      Tier tier,
      int maxPromptTokens,
      int maxOutputTokens,
      long timeoutMillis)
      implements Entry {

    /** Checks the parts. */
    public Model {
      Checks.common(name, owner, tier);
      Checks.positive(maxPromptTokens, "maxPromptTokens");
      Checks.positive(maxOutputTokens, "maxOutputTokens");
      Checks.positive((double) timeoutMillis, "timeoutMillis");
    }
  }

  /**
   * A plain service.
   *
   * @param name name of the service, as callers give it
   * @param owner who answers for it
   * @param tier tier of requests that ask for none
   * @param timeoutMillis agreed time of requests that give none, in milliseconds
   * @param maxBodyBytes largest body of a request or answer
   * @param inFlightPerEndpoint requests that one endpoint takes at the same time
   * @param repeatableMethods HTTP methods whose calls may be repeated; others need a key
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

    /** Checks and copies the parts. */
    public Service {
      Checks.common(name, owner, tier);
      Checks.positive((double) timeoutMillis, "timeoutMillis");
      Checks.positive(maxBodyBytes, "maxBodyBytes");
      Checks.positive(inFlightPerEndpoint, "inFlightPerEndpoint");
      repeatableMethods = Set.copyOf(repeatableMethods);
    }
  }

  /**
   * What operators say of one endpoint.
   *
   * @param name name of the endpoint, as the platform lists it
   * @param owner who answers for it
   * @param tier lowest tier that it serves
   * @param drained whether it gets no new work
   * @param checksFencing whether it refuses orders with an old fencing number
   */
  record Endpoint(String name, String owner, Tier tier, boolean drained, boolean checksFencing)
      implements Entry {

    /** Checks the parts. */
    public Endpoint {
      Checks.common(name, owner, tier);
    }
  }
}
