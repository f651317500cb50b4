package org.snipewick.membership;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.BiConsumer;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;

/** Membership whose view and activity a test sets. */
public final class SettableMembership implements Membership {
  private final List<BiConsumer<MembershipView, MembershipView>> listeners = new ArrayList<>();
  private MembershipView view;
  private boolean active = true;
  private long activeSinceEpochMillis;

  /** Creates an active membership with an initial view. */
  public SettableMembership(MembershipView view) {
    this.view = view;
  }

  /** Returns a view in which all named instances ("domain.number") are alive. */
  public static MembershipView viewOf(String self, String... names) {
    return MembershipView.ofAll(
        InstanceId.of(self), Arrays.stream(names).map(SettableMembership::alive).toList());
  }

  private static Member alive(String name) {
    FailureDomain domain = FailureDomain.of(name.substring(0, name.lastIndexOf('.')));
    return new Member(InstanceId.of(name), domain, "127.0.0.1", 1, 1, Member.State.ALIVE);
  }

  /** Replaces the view and notifies the listeners. */
  public void setView(MembershipView changed) {
    MembershipView before = view;
    view = changed;
    listeners.forEach(listener -> listener.accept(before, changed));
  }

  /** Sets whether the instance is active, and since when. */
  public void setActive(boolean isActive, long sinceEpochMillis) {
    active = isActive;
    activeSinceEpochMillis = sinceEpochMillis;
  }

  @Override
  public MembershipView view() {
    return view;
  }

  @Override
  public void subscribe(BiConsumer<MembershipView, MembershipView> listener) {
    listeners.add(listener);
  }

  @Override
  public boolean isActive() {
    return active;
  }

  @Override
  public long activeSinceEpochMillis() {
    return activeSinceEpochMillis;
  }
}
