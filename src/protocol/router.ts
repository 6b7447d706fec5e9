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
  type Acknowledgement,
  type Status,
  type Watch,
  type WatchChanges,
  heartbeatSchema,
  watchSchema,
} from './schemas';

/** A program; returned only to the team that owns it. */
export interface FoundProgram {
  readonly outcome: 'found';
  readonly program: ProgramView;
}

/** The active configuration; absent until one is applied. */
export interface ActiveConfigurationResult {
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

/** Replication messages that a host sends in reply to those delivered. */
export interface DeliveryResult {
  readonly answers: readonly GroupEnvelopes[];
}

/** Highest term of the configuration group that a control host has seen, in any role. */
export interface KnownTerm {
  readonly outcome: 'term';
  readonly term: number;
}

/**
 * Whether an entry has certainly terminated, according to the leader of the configuration group.
 */
export interface EntryLivenessResult {
  readonly outcome: 'entry-life';
  readonly dead: boolean;
}

const orderOfferSchema = z.object({ group: z.string(), orders: z.array(orderSchema).readonly() });

/** All orders of one group that are not confirmed by their targets. */
export interface OrderOffer {
  readonly group: string;
  readonly orders: readonly Order[];
}

/** Procedures that a control host serves to other processes and to operators. */
export interface ControlApi {
  createProgram(input: CreateProgram): Promise<Created | Refused | NotLeader>;
  getProgram(program: string, team: string): Promise<FoundProgram | Refused | NotLeader>;
  endProgram(input: EndProgram, team: string): Promise<Ended | Refused | NotLeader>;
  beginStep(input: BeginStep, waitMilliseconds: number): Promise<BeginOutcome | NotLeader>;
  completeStep(input: CompleteStep): Promise<CompleteOutcome | NotLeader>;
  abandonStep(input: AbandonStep): Promise<Acknowledgement | NotLeader>;
  resolveStep(input: ResolveStep): Promise<Acknowledgement | NotLeader>;
  heartbeat(input: Heartbeat): Acknowledgement | NotLeader;
  watch(input: Watch): Promise<WatchChanges | NotLeader>;
  confirmOrders(orders: readonly string[]): Promise<Acknowledgement | NotLeader>;
  entryLiveness(identity: string): EntryLivenessResult | NotLeader;
  offerOrders(offer: OrderOffer): Acknowledgement | NotLeader;
  settleOrders(group: string, orders: readonly string[]): Promise<Acknowledgement | NotLeader>;
  summary(group: string): GroupSummary | NotLeader;
  knownTerm(): KnownTerm;
  applyConfiguration(input: AcceptConfiguration): Promise<AcceptOutcome | NotLeader>;
  configurationInForce(): ActiveConfigurationResult | NotLeader;
  status(): Promise<Status | NotLeader>;
  deliver(batches: readonly GroupEnvelopes[]): Promise<DeliveryResult>;
}

/** Role of the caller, from the credential presented when the connection was opened. */
export interface CallerContext {
  readonly caller: 'process' | 'operator' | undefined;
}

const trpc = initTRPC.context<CallerContext>().create();

function procedureFor(allowed: readonly CallerContext['caller'][]) {
  return trpc.procedure.use(({ ctx, next }) => {
    if (allowed.includes(ctx.caller)) return next();
    throw new TRPCError({
      code: 'UNAUTHORIZED',
      message: 'the credential does not allow this call',
    });
  });
}

const processProcedure = procedureFor(['process']);
const operatorProcedure = procedureFor(['operator']);
const teamProgramSchema = z.object({ program: z.string(), team: z.string() });

export function createControlRouter(api: ControlApi) {
  return trpc.router({
    programs: trpc.router({
      create: processProcedure
        .input(createProgramSchema)
        .mutation(({ input }) => api.createProgram(input)),
      get: processProcedure
        .input(teamProgramSchema)
        .query(({ input }) => api.getProgram(input.program, input.team)),
      end: processProcedure
        .input(z.object({ end: endProgramSchema, team: z.string() }))
        .mutation(({ input }) => api.endProgram(input.end, input.team)),
    }),
    steps: trpc.router({
      begin: processProcedure
        .input(z.object({ step: beginStepSchema, waitMilliseconds: z.int().nonnegative() }))
        .mutation(({ input }) => api.beginStep(input.step, input.waitMilliseconds)),
      complete: processProcedure
        .input(completeStepSchema)
        .mutation(({ input }) => api.completeStep(input)),
      abandon: processProcedure
        .input(abandonStepSchema)
        .mutation(({ input }) => api.abandonStep(input)),
      resolve: processProcedure
        .input(resolveStepSchema)
        .mutation(({ input }) => api.resolveStep(input)),
    }),
    nodes: trpc.router({
      heartbeat: processProcedure
        .input(heartbeatSchema)
        .mutation(({ input }) => api.heartbeat(input)),
      watch: processProcedure.input(watchSchema).query(({ input }) => api.watch(input)),
      confirmOrders: processProcedure
        .input(z.object({ orders: z.array(z.string()) }))
        .mutation(({ input }) => api.confirmOrders(input.orders)),
    }),
    configuration: trpc.router({
      accept: operatorProcedure
        .input(acceptConfigurationSchema)
        .mutation(({ input }) => api.applyConfiguration(input)),
      get: operatorProcedure.query(() => api.configurationInForce()),
    }),
    status: operatorProcedure.query(() => api.status()),
    groups: trpc.router({
      entryLife: processProcedure
        .input(z.object({ identity: z.string() }))
        .query(({ input }) => api.entryLiveness(input.identity)),
      offerOrders: processProcedure
        .input(orderOfferSchema)
        .mutation(({ input }) => api.offerOrders(input)),
      settleOrders: processProcedure
        .input(z.object({ group: z.string(), orders: z.array(z.string()) }))
        .mutation(({ input }) => api.settleOrders(input.group, input.orders)),
      knownTerm: processProcedure.query(() => api.knownTerm()),
      summary: processProcedure
        .input(z.object({ group: z.string() }))
        .query(({ input }) => api.summary(input.group)),
    }),
    replication: trpc.router({
      deliver: processProcedure
        .input(z.object({ batches: z.array(groupEnvelopesSchema) }))
        .mutation(({ input }) => api.deliver(input.batches)),
    }),
  });
}

export type ControlRouter = ReturnType<typeof createControlRouter>;
