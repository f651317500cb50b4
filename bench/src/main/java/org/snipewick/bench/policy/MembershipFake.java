package org.snipewick.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.snipewick.identity.InstanceId;
import org.snipewick.membership.Member;
import org.snipewick.membership.Membership;
import org.snipewick.membership.MembershipView;

/** Membership whose view the run sets. */
final class MembershipFake implements Membership {
  private final List<BiConsumer<MembershipView, MembershipView>> listeners = new ArrayList<>();
  private MembershipView view;
  private boolean alive = true;

  MembershipFake(InstanceId self, List<Member> members) {
    view = MembershipView.ofAll(self, members);
  }

  void kill() {
    alive = false;
  }

  /** Sets which members are considered dead. */
  void believeDead(Predicate<Member> isDead) {
    MembershipView before = view;
    view =
        MembershipView.ofAll(
            before.self(),
            before.members().values().stream()
                .map(
                    member ->
                        member.withState(
                            isDead.test(member) ? Member.State.DEAD : Member.State.ALIVE))
                .toList());
    listeners.forEach(listener -> listener.accept(before, view));
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
  public boolean hasStanding() {
    return alive;
  }

  @Override
  public long standingSinceEpochMillis() {
    return 0;
  }
}
