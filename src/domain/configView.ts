/** A daemon's copy of the declared configuration. Its revision never decreases. */
import type { ConfigUpdate } from "../protocol/configMethods.js";
import {
    type DeclaredObject,
    isDeletion,
    type Kind,
    type RankRuleSpec,
    type ServiceSpec,
    type UpstreamSpec,
} from "./objects.js";

export type Upstream = UpstreamSpec & { readonly name: string; };
export type RankRule = RankRuleSpec & { readonly name: string; };

export class ConfigView {
    private objects = new Map<string, DeclaredObject>();
    private revision = 0;
    private confirmedTerm = 0;
    private upstreamsByService = new Map<string, Upstream[]>();
    private budgetsByAccount = new Map<string, DeclaredObject<"budget">[]>();
    private rulesByService = new Map<string, RankRule[]>();
    private sidecars: string[] = [];
    private hasBeenConfirmed = false;

    getRevision(): number {
        return this.revision;
    }

    /** Highest term of a confirmed update; 0 before the first one. */
    getConfirmedTerm(): number {
        return this.confirmedTerm;
    }

    /** Whether an applied update has ever been confirmed by a majority. */
    isConfirmed(): boolean {
        return this.hasBeenConfirmed;
    }

    /**
     * Applies an update and returns whether the revision advanced. Ignores an update that is not newer than the current
     * revision or that starts after it, since an update can arrive before the snapshot that it is based on.
     */
    apply(update: ConfigUpdate): boolean {
        if (update.confirmed && update.revision >= this.revision && update.from <= this.revision) {
            this.hasBeenConfirmed = true;
            this.confirmedTerm = Math.max(this.confirmedTerm, update.term);
        }
        if (update.revision <= this.revision || update.from > this.revision) {
            return false;
        }
        if (update.type === "snapshot") {
            this.objects = new Map();
        }
        for (const change of update.changes) {
            const key = `${change.kind}/${change.name}`;
            if (isDeletion(change)) {
                this.objects.delete(key);
            }
            else {
                this.objects.set(key, change);
            }
        }
        this.revision = update.revision;
        this.indexObjects();
        return true;
    }

    tryGet<K extends Kind>(kind: K, name: string): DeclaredObject<K> | undefined {
        return this.objects.get(`${kind}/${name}`) as DeclaredObject<K> | undefined;
    }

    tryGetService(name: string): ServiceSpec | undefined {
        return this.tryGet("service", name)?.spec;
    }

    getUpstreams(service: string): readonly Upstream[] {
        return this.upstreamsByService.get(service) ?? [];
    }

    /** Whether an upstream may receive new requests: it is not leaving and its zone is not evacuated. */
    isInService({ leaving, zone }: Upstream): boolean {
        return !leaving && this.tryGet("evacuation", zone) === undefined;
    }

    getAllUpstreams(): Upstream[] {
        return [...this.upstreamsByService.values()].flat();
    }

    /** Returns the first budget of the account, in order of name, that covers the service. */
    tryGetBudget(account: string, service: string): string | undefined {
        const budgets = this.budgetsByAccount.get(account) ?? [];
        return budgets.find(budget => budget.spec.services?.includes(service) ?? true)?.name;
    }

    getRankRules(service: string): readonly RankRule[] {
        return this.rulesByService.get(service) ?? [];
    }

    /** Returns the sorted addresses of all sidecars. */
    getSidecars(): readonly string[] {
        return this.sidecars;
    }

    private indexObjects(): void {
        this.upstreamsByService = new Map();
        this.budgetsByAccount = new Map();
        this.rulesByService = new Map();
        const sidecars = new Set<string>();
        const sorted = [...this.objects.values()].sort((a, b) => (a.name < b.name ? -1 : 1));
        for (const object of sorted) {
            if (object.kind === "upstream") {
                const spec = object.spec as UpstreamSpec;
                appendToList(this.upstreamsByService, spec.service, { ...spec, name: object.name });
                sidecars.add(spec.sidecar);
            }
            else if (object.kind === "budget") {
                const budget = object as DeclaredObject<"budget">;
                appendToList(this.budgetsByAccount, budget.spec.account, budget);
            }
            else if (object.kind === "rankRule") {
                const spec = object.spec as RankRuleSpec;
                appendToList(this.rulesByService, spec.service, { ...spec, name: object.name });
            }
        }
        this.sidecars = [...sidecars].sort();
    }
}

function appendToList<T>(map: Map<string, T[]>, key: string, value: T): void {
    const list = map.get(key);
    if (list === undefined) {
        map.set(key, [value]);
    }
    else {
        list.push(value);
    }
}
