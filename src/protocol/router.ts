import { TRPCError, initTRPC } from '@trpc/server';
import * as z from 'zod';
import { type SourceFile } from '../configuration';
import { type Envelope, envelopeSchema } from '../replication';
import {
  type AbandonStep,
  type AcceptConfiguration,
  type AcceptOutcome,
  type BeginOutcome,
  type BeginStep,
  type CompleteOutcome,
  type CompleteStep,
  type CreateProgram,
  type Created,
  type EndProgram,
  type Ended,
  type ProgramView,
  type Refused,
  type ResolveStep,
  abandonStepSchema,
  acceptConfigurationSchema,
  beginStepSchema,
  completeStepSchema,
  createProgramSchema,
  type Order,
  endProgramSchema,
  orderSchema,
  resolveStepSchema,
} from '../state';
import {
  type GroupSummary,
  type Heartbeat,
  type NotLeader,
  type Noted,
  type Status,
  type Watch,
  type WatchChanges,
  heartbeatSchema,
  watchSchema,
} from './schemas';

/** A program, for its own team only. */
export interface FoundProgram {
  readonly outcome: 'found';
  readonly program: ProgramView;
}

/** The configuration in force, if any was applied. */
export interface InForce {
  readonly outcome: 'in-force';
  readonly configuration?:
    | {
        readonly number: number;
        readonly digest: string;
        readonly files: readonly SourceFile[];
      }
    | undefined;
}

const groupEnvelopesSchema = z.object({
  group: z.string(),
  envelopes: z.array(envelopeSchema).readonly(),
});

/** Replication messages of one group. */
export interface GroupEnvelopes {
  readonly group: string;
  readonly envelopes: readonly Envelope[];
}

/** A host's answers to replication messages. */
export interface Delivered {
  readonly answers: readonly GroupEnvelopes[];
}

/** Highest term of the configuration's group that a control host knows, whether it leads or not. */
export interface KnownTerm {
  readonly outcome: 'term';
  readonly term: number;
}

/** Whether an entry process has surely ended, as far as the leader of the configuration knows. */
export interface EntryLife {
  readonly outcome: 'entry-life';
  readonly dead: boolean;
}

const offerSchema = z.object({ group: z.string(), orders: z.array(orderSchema).readonly() });

/** All orders of one group that targets have not confirmed yet. */
export interface OrderOffer {
  readonly group: string;
  readonly orders: readonly Order[];
}

/** What a control host offers to the other processes and to operators. */
export interface ControlApi {
  createProgram(input: CreateProgram): Promise<Created | Refused | NotLeader>;
  getProgram(program: string, team: string): Promise<FoundProgram | Refused | NotLeader>;
  endProgram(input: EndProgram, team: string): Promise<Ended | Refused | NotLeader>;
  beginStep(input: BeginStep, waitMilliseconds: number): Promise<BeginOutcome | NotLeader>;
  completeStep(input: CompleteStep): Promise<CompleteOutcome | NotLeader>;
  abandonStep(input: AbandonStep): Promise<Noted | NotLeader>;
  resolveStep(input: ResolveStep): Promise<Noted | NotLeader>;
  heartbeat(input: Heartbeat): Noted | NotLeader;
  watch(input: Watch): Promise<WatchChanges | NotLeader>;
  confirmOrders(orders: readonly string[]): Promise<Noted | NotLeader>;
  entryLife(identity: string): EntryLife | NotLeader;
  offerOrders(offer: OrderOffer): Noted | NotLeader;
  settleOrders(group: string, orders: readonly string[]): Promise<Noted | NotLeader>;
  summary(group: string): GroupSummary | NotLeader;
  knownTerm(): KnownTerm;
  applyConfiguration(input: AcceptConfiguration): Promise<AcceptOutcome | NotLeader>;
  configurationInForce(): InForce | NotLeader;
  status(): Promise<Status | NotLeader>;
  deliver(batches: readonly GroupEnvelopes[]): Promise<Delivered>;
}

/** Who is calling, from the credential shown when the connection was opened. */
export interface CallerContext {
  readonly caller: 'process' | 'operator' | undefined;
}

const t = initTRPC.context<CallerContext>().create();

function procedureFor(allowed: readonly CallerContext['caller'][]) {
  return t.procedure.use(({ ctx, next }) => {
    if (allowed.includes(ctx.caller)) return next();
    throw new TRPCError({
      code: 'UNAUTHORIZED',
      message: 'the credential does not allow this call',
    });
  });
}

const process = procedureFor(['process']);
const operator = procedureFor(['operator']);
const programOfTeam = z.object({ program: z.string(), team: z.string() });

/** Builds the tRPC router over a {@link ControlApi}. */
export function createControlRouter(api: ControlApi) {
  return t.router({
    programs: t.router({
      create: process.input(createProgramSchema).mutation(({ input }) => api.createProgram(input)),
      get: process
        .input(programOfTeam)
        .query(({ input }) => api.getProgram(input.program, input.team)),
      end: process
        .input(z.object({ end: endProgramSchema, team: z.string() }))
        .mutation(({ input }) => api.endProgram(input.end, input.team)),
    }),
    steps: t.router({
      begin: process
        .input(z.object({ step: beginStepSchema, waitMilliseconds: z.int().nonnegative() }))
        .mutation(({ input }) => api.beginStep(input.step, input.waitMilliseconds)),
      complete: process.input(completeStepSchema).mutation(({ input }) => api.completeStep(input)),
      abandon: process.input(abandonStepSchema).mutation(({ input }) => api.abandonStep(input)),
      resolve: process.input(resolveStepSchema).mutation(({ input }) => api.resolveStep(input)),
    }),
    nodes: t.router({
      heartbeat: process.input(heartbeatSchema).mutation(({ input }) => api.heartbeat(input)),
      watch: process.input(watchSchema).query(({ input }) => api.watch(input)),
      confirmOrders: process
        .input(z.object({ orders: z.array(z.string()) }))
        .mutation(({ input }) => api.confirmOrders(input.orders)),
    }),
    configuration: t.router({
      accept: operator
        .input(acceptConfigurationSchema)
        .mutation(({ input }) => api.applyConfiguration(input)),
      get: operator.query(() => api.configurationInForce()),
    }),
    status: operator.query(() => api.status()),
    groups: t.router({
      entryLife: process
        .input(z.object({ identity: z.string() }))
        .query(({ input }) => api.entryLife(input.identity)),
      offerOrders: process.input(offerSchema).mutation(({ input }) => api.offerOrders(input)),
      settleOrders: process
        .input(z.object({ group: z.string(), orders: z.array(z.string()) }))
        .mutation(({ input }) => api.settleOrders(input.group, input.orders)),
      knownTerm: process.query(() => api.knownTerm()),
      summary: process
        .input(z.object({ group: z.string() }))
        .query(({ input }) => api.summary(input.group)),
    }),
    replication: t.router({
      deliver: process
        .input(z.object({ batches: z.array(groupEnvelopesSchema) }))
        .mutation(({ input }) => api.deliver(input.batches)),
    }),
  });
}

export type ControlRouter = ReturnType<typeof createControlRouter>;
